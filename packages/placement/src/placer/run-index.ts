import type {Run} from '../sessions/run.js';

/** The runs of all backend servers by task, so that the run of a task is found without asking each session. */
export type RunIndex<Server> = {
	addRun(run: Run, server: Server): void;
	removeRun(run: Run): void;
	/** Finds a run of a task. A task may have several, if earlier placers started it. */
	findRun(taskName: string): {run: Run; server: Server} | undefined;
	/** Removes all runs of a backend server. */
	removeServer(server: Server): void;
	clear(): void;
};

/**
 * Creates an empty index. While jobs wait, each pass of the placer looks for earlier runs of every waiting task, and a zone may
 * have hundreds of both: a search through the sessions would take most of the placer's processor time when load is highest.
 *
 * @example
 * ```ts
 * const index = createRunIndex<string>();
 * index.addRun(run, 'server-1');
 * index.findRun(run.taskName)?.server; // 'server-1'
 * ```
 */
export function createRunIndex<Server>(): RunIndex<Server> {
	const runs = new Map<string, Array<{run: Run; server: Server}>>();

	function removeWhere(taskName: string, isRemoved: (entry: {run: Run; server: Server}) => boolean): void {
		const remaining = (runs.get(taskName) ?? []).filter(entry => !isRemoved(entry));
		if (remaining.length === 0) {
			runs.delete(taskName);
		} else {
			runs.set(taskName, remaining);
		}
	}

	return {
		addRun(run, server) {
			runs.set(run.taskName, [...(runs.get(run.taskName) ?? []), {run, server}]);
		},
		removeRun(run) {
			removeWhere(run.taskName, entry => entry.run === run);
		},
		findRun: taskName => runs.get(taskName)?.[0],
		removeServer(server) {
			for (const taskName of runs.keys()) {
				removeWhere(taskName, entry => entry.server === server);
			}
		},
		clear() {
			runs.clear();
		},
	};
}
