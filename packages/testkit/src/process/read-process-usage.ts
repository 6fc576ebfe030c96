import {readdirSync, readFileSync} from 'node:fs';

/** What a process of this machine uses. */
export type ProcessUsage = {
	/** The most memory that the process has had resident. */
	peakMemoryMb: number;
	openFds: number;
};

const kibPerMib = 1024;

/**
 * Reads what a process uses. Returns undefined if it has ended.
 * @param processId - The id of the process.
 *
 * @example
 * ```ts
 * readProcessUsage(process.pid); // {peakMemoryMb: 61.5, openFds: 24}
 * ```
 */
export function readProcessUsage(processId: number): ProcessUsage | undefined {
	try {
		const status = readFileSync(`/proc/${processId}/status`, 'utf8');
		const peakKib = Number(/^VmHWM:\s+(?<kib>\d+)/mv.exec(status)?.groups?.kib ?? 0);
		return {peakMemoryMb: peakKib / kibPerMib, openFds: readdirSync(`/proc/${processId}/fd`).length};
	} catch {
		// There is no such process any more.
		return undefined;
	}
}
