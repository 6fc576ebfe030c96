import {spawn, type ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

/** A child process of a benchmark. */
export type BenchProcess = {
	/** The parsed JSON of its first line of output. */
	readonly firstLine: unknown;
	readonly pid: number;
	/** Sends SIGTERM and waits for the process to exit. */
	stop(): Promise<void>;
};

/**
 * Starts a script of this repository and waits for its first line of output.
 * @param script - The path of the script, relative to this file.
 * @param parameters - The command-line arguments of the script.
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
		throw new Error('child process has no standard output');
	}

	const lines = createInterface({input: child.stdout});
	const line = await new Promise<string>((resolve, reject) => {
		lines.once('line', resolve);
		child.once('exit', () => {
			reject(new Error('child process exited before it printed its first line'));
		});
	});
	return JSON.parse(line);
}
