import {LimitCluster} from './limit-cluster.js';

export type DeclaredLimits = {tasksPerSecond?: number; tasksInFlight?: number; workerSecondsPerHour?: number};

export const allLimits = {tasksPerSecond: 60, tasksInFlight: 40, workerSecondsPerHour: 36_000};

/** Checks the recorded starts and uses against the declared limits with a simple central model, and describes the first violation. */
export function findExceededLimit(cluster: LimitCluster, {tasksPerSecond, workerSecondsPerHour}: DeclaredLimits): string | undefined {
	if (tasksPerSecond !== undefined) {
		let tokens = tasksPerSecond;
		let atMs = 0;
		for (const start of cluster.starts) {
			tokens = Math.min(tasksPerSecond, tokens + ((start.atMs - atMs) / 1000 * tasksPerSecond)) - start.count;
			atMs = start.atMs;
			if (tokens < -1e-6) {
				return `rate passed at ${atMs} ms by ${-tokens} tasks`;
			}
		}
	}

	if (workerSecondsPerHour !== undefined) {
		let windowStart = 0;
		let seconds = 0;
		for (const use of cluster.uses) {
			seconds += use.seconds;
			while (cluster.uses[windowStart]!.atMs <= use.atMs - 600_000) {
				seconds -= cluster.uses[windowStart++]!.seconds;
			}

			if (seconds > (workerSecondsPerHour / 6) + 1e-6) {
				return `worker-seconds passed at ${use.atMs} ms: ${seconds}`;
			}
		}
	}

	return undefined;
}

/** Offers jobs to one daemon, or to all if none is given. */
export function offerLoad(cluster: LimitCluster, busyId?: string): void {
	for (const node of cluster.nodes.values()) {
		if ((busyId ?? node.id) === node.id && cluster.random.getFraction() < 0.5) {
			cluster.offer(node.id, cluster.random.getInteger(1, 4), cluster.random.getInteger(50, 4900));
		}
	}
}

export type Fault = {
	kind: 'crash' | 'restart' | 'pause' | 'isolate' | 'cut-zone' | 'heal' | 'skew' | 'one-way';
	node: number;
	durationMs: number;
};

/** Runs faults in sequence under load and describes the first declared limit that was exceeded, if any. */
export function runFaultSchedule(seed: number, nodesPerZone: number, faults: readonly Fault[]): string | undefined {
	const cluster = new LimitCluster({
		seed,
		zones: 2,
		nodesPerZone,
		lossRatio: 0.05,
		duplicationRatio: 0.05,
		maxDelayMs: 80,
	});
	cluster.start({limits: {bill: {...allLimits, burstSeconds: 1}}});
	const ids = [...cluster.nodes.keys()];
	let busyId: string | undefined;
	for (const {kind, node, durationMs} of faults) {
		const id = ids[node % ids.length]!;
		busyId = kind === 'skew' ? id : busyId;
		injectFault(cluster, kind, id, durationMs);
		for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
			offerLoad(cluster, busyId);
			cluster.timers.advance(100);
			if (cluster.running > allLimits.tasksInFlight) {
				return `${cluster.running} tasks in flight at ${cluster.timers.getNowMs()} ms`;
			}
		}
	}

	return findExceededLimit(cluster, allLimits);
}

function injectFault(cluster: LimitCluster, kind: Fault['kind'], id: string, durationMs: number): void {
	const {timers, isAlive} = cluster.nodes.get(id)!;
	switch (kind) {
		case 'crash': {
			if (isAlive) {
				cluster.crash(id);
			}

			break;
		}

		case 'restart': {
			cluster.restart(id);
			break;
		}

		case 'pause': {
			timers.pause();
			cluster.updateViews();
			cluster.timers.addTimer(durationMs, () => {
				timers.resume();
				cluster.updateViews();
			});
			break;
		}

		case 'isolate': {
			cluster.setGroups(node => node.id === id ? 1 : 0);
			break;
		}

		case 'cut-zone': {
			cluster.setGroups(node => node.zone === 'z0' ? 0 : 1);
			break;
		}

		case 'heal': {
			cluster.setGroups(() => 0);
			break;
		}

		case 'one-way': {
			const others = [...cluster.nodes.keys()].filter(other => other !== id);
			cluster.network.cutLink(id, others[cluster.random.getInteger(0, others.length - 1)]!);
			break;
		}

		case 'skew': {
			break;
		}
	}
}
