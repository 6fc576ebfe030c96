import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {readSettings} from '@camphortack/configuration';
import {z} from 'zod';
import {startDaemon, type Daemon, type DaemonAddresses} from '../../src/index.js';

/** A daemon in a child process, so that it can be killed. */
export type ChildDaemon = {
	addresses: DaemonAddresses;
	/** Kills the process immediately, without a graceful shutdown. */
	kill(): Promise<void>;
};

/** Starts daemons and cleans up after them. */
export type TestDaemons = {
	start(id: string, zone: string, seeds: string): Promise<Daemon>;
	/** Starts a daemon in a child process; without the role `keeper` it has no disk. */
	startChild(id: string, zone: string, seeds: string, roles?: string): Promise<ChildDaemon>;
	/** Kills the child processes and removes the folders of all daemons. */
	cleanUp(): Promise<void>;
};

const lineSchema = z.tuple([z.string()]);
const addressesSchema = z.object({
	callersUrl: z.string(), backendServersUrl: z.string(), operatorsUrl: z.string(), peersPort: z.int(),
});
const mainPath = new URL('../../src/main.ts', import.meta.url).pathname;

/**
 * Creates a helper that starts daemons.
 * @param keeperIds - The ids of the initial keepers, separated by commas.
 */
export async function createTestDaemons(keeperIds: string): Promise<TestDaemons> {
	const folder = await mkdtemp(join(tmpdir(), 'camphortack-test-'));
	const createSettingsText = (id: string, zone: string, seeds: string, roles = 'entry, keeper') => [
		'[daemon]',
		`id = ${id}`,
		`availabilityZone = ${zone}`,
		`roles = ${roles}`,
		`dataFolder = ${join(folder, id)}`,
		'[keepers]',
		`ids = ${keeperIds}`,
		'[peers]',
		`seeds = ${seeds}`,
		'',
	].join('\n');

	const children: ChildDaemon[] = [];

	async function startChild(id: string, zone: string, seeds: string, roles?: string): Promise<ChildDaemon> {
		const file = join(folder, `${id}.ini`);
		await writeFile(file, createSettingsText(id, zone, seeds, roles));
		const flags = ['--disable-warning=DEP0111', '-C', 'camphortack-source', '--import', 'tsx'];
		const child = spawn(process.execPath, [...flags, mainPath, '--settings', file], {stdio: ['ignore', 'pipe', 'inherit']});
		const exited = once(child, 'exit');
		const ended = exited.then(([code]) => {
			throw new Error(`daemon ${id} exited with code ${code} before it was listening`);
		});
		const lines = createInterface({input: child.stdout});
		const [line] = lineSchema.parse(await Promise.race([once(lines, 'line'), ended]));
		ended.catch(() => undefined);
		const daemon = {
			addresses: addressesSchema.parse(JSON.parse(line)),
			async kill() {
				child.kill('SIGKILL');
				await exited;
			},
		};
		children.push(daemon);
		return daemon;
	}

	return {
		start: async (id, zone, seeds) => startDaemon(readSettings(`${id}.ini`, createSettingsText(id, zone, seeds))),
		startChild,
		async cleanUp() {
			await Promise.all(children.map(async child => child.kill()));
			await rm(folder, {recursive: true, force: true});
		},
	};
}
