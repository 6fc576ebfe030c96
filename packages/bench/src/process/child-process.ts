import {spawn, type ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

/** A process that a benchmark started. */
export type BenchProcess = {
	/** The JSON that it printed on its first line. */
	readonly firstLine: unknown;
	readonly pid: number;
	/** Sends SIGTERM and waits for the end. */
	stop(): Promise<void>;
};

/**
 * Starts a script of this workspace and waits for its first line.
 * @param script - The script, relative to this file.
 * @param parameters - Its parameters.
 */
export async function startBenchProcess(script: string, parameters: readonly string[]): Promise<BenchProcess> {
	const path = fileURLToPath(new URL(script, import.meta.url));
	const child = spawn(process.execPath, ['--disable-warning=DEP0111', path, ...parameters], {stdio: ['ignore', 'pipe', 'inherit']});
	const firstLine = await readFirstLine(child);
	return {
		firstLine,
		pid: child.pid ?? 0,
		async stop() {
			const ended = new Promise<void>(resolve => {
				child.once('exit', () => {
					resolve();
				});
			});
			child.kill('SIGTERM');
			await ended;
		},
	};
}

async function readFirstLine(child: ChildProcess): Promise<unknown> {
	if (child.stdout === null) {
		throw new Error('the process has no standard output');
	}

	const lines = createInterface({input: child.stdout});
	const line = await new Promise<string>((resolve, reject) => {
		lines.once('line', resolve);
		child.once('exit', () => {
			reject(new Error('the process ended before its first line'));
		});
	});
	return JSON.parse(line);
}
