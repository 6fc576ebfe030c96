import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {createStandInBackendServer, readProcessUsage} from '@camphortack/testkit';
import {z} from 'zod';
import {createJobBody, publishObjects, sendJson} from '../../support/test-system.js';

/** The limits of the VM of a daemon. */
export type VmLimits = {
	memoryMegabytes: number;
	maxFileDescriptors: number;
	maxHeapMegabytes: number;
};

/** A daemon in a process of its own, with one backend server. */
export type CrowdDaemon = {
	readonly addresses: z.infer<typeof addressesSchema>;
	/** Checks that the process runs and is within its limits. */
	check(): void;
	/** Sends ordinary jobs, one after the other, until one is complete, and checks that one of a bounded number was. */
	checkOrdinaryJob(): Promise<void>;
	close(): Promise<void>;
};

const mainPath = new URL('../../../bin/camphortackd.js', import.meta.url).pathname;
const maxAttempts = 30;
const attemptPauseMs = 500;
const lineSchema = z.tuple([z.string()]);
const addressesSchema = z.object({
	callersUrl: z.string(), backendServersUrl: z.string(), operatorsUrl: z.string(), peersPort: z.int(),
});

/**
 * Starts a daemon and waits until it has completed a job.
 * @param limits - The limits of its VM.
 */
export async function startCrowdDaemon(limits: VmLimits): Promise<CrowdDaemon> {
	const folder = mkdtempSync(join(tmpdir(), 'camphortack-crowd-'));
	const settingsFile = join(folder, 'daemon.ini');
	writeFileSync(settingsFile, [
		'[daemon]',
		`dataFolder = ${join(folder, 'data')}`,
		`memoryMegabytes = ${limits.memoryMegabytes}`,
		`maxFileDescriptors = ${limits.maxFileDescriptors}`,
		'',
	].join('\n'));
	const child = spawn(process.execPath, ['--disable-warning=DEP0111', `--max-old-space-size=${limits.maxHeapMegabytes}`, mainPath, '--settings', settingsFile], {
		stdio: ['ignore', 'pipe', 'ignore'],
	});
	const exited = once(child, 'exit');
	const [line] = lineSchema.parse(await once(createInterface({input: child.stdout}), 'line'));
	const addresses = addressesSchema.parse(JSON.parse(line));
	await publishObjects(addresses);
	const server = await createStandInBackendServer({
		id: 'backend-0', services: ['quote'], availabilityZone: 'zone-1', announceUrl: addresses.backendServersUrl,
	});
	await server.announce();

	async function isOrdinaryJobComplete(): Promise<boolean> {
		try {
			const {status} = await sendJson('POST', `${addresses.callersUrl}/v1/jobs`, createJobBody(2));
			return status === 200;
		} catch {
			// The connection was closed without a response.
			return false;
		}
	}

	async function checkOrdinaryJob(): Promise<void> {
		for (let attempts = 0; attempts < maxAttempts; attempts++) {
			// eslint-disable-next-line no-await-in-loop -- One attempt after the other.
			if (await isOrdinaryJobComplete()) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop -- A pause between two attempts.
			await new Promise(resolve => {
				setTimeout(resolve, attemptPauseMs);
			});
		}

		assert.fail('no ordinary job was completed');
	}

	await checkOrdinaryJob();
	return {
		addresses,
		check() {
			assert.equal(child.exitCode ?? child.signalCode, null, 'the process has ended');
			const {peakMemoryMb, openFds} = readProcessUsage(child.pid!)!;
			assert.ok(peakMemoryMb <= limits.memoryMegabytes, `the process had ${Math.round(peakMemoryMb)} MB resident, of ${limits.memoryMegabytes}`);
			assert.ok(openFds <= limits.maxFileDescriptors, `the process had ${openFds} descriptors open, of ${limits.maxFileDescriptors}`);
		},
		checkOrdinaryJob,
		async close() {
			child.kill('SIGKILL');
			await Promise.all([exited, server.close()]);
			rmSync(folder, {recursive: true, force: true});
		},
	};
}
