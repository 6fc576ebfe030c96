import {createWriteStream} from 'node:fs';
import {performance} from 'node:perf_hooks';

/**
 * Creates the record of a case: what was sent, answered and run, one line each, with the time since the start in milliseconds.
 * @param path - The file to write.
 */
export function createRecord(path) {
	const file = createWriteStream(path);
	const startedAtMs = performance.now();

	function getNowMs() {
		return Math.round(performance.now() - startedAtMs);
	}

	return {
		getNowMs,
		write(kind, fields = {}) {
			const atMs = getNowMs();
			file.write(`${String(atMs).padStart(6)} ${kind} ${JSON.stringify(fields)}\n`);
			return atMs;
		},
		async close() {
			await new Promise(resolve => {
				file.end(resolve);
			});
		},
	};
}
