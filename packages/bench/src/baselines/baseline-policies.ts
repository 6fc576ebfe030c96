import {getLatencyMs, getZoneName} from '../bench/deployments.js';
import type {SimulatedServer} from '../simulation/simulated-fleet.js';
import type {CreatePolicy, PolicyContext} from '../simulation/simulation.js';
import type {BenchJob} from '../simulation/workload.js';

type SampledServer = {server: SimulatedServer; queueLength: number};

type PlaceTask = (server: SimulatedServer, runTimeMs: number) => void;

/** Creates a callback for ended tasks that reports the job's end after its last task or its first failed one. */
function createJobTracker({onEnd}: PolicyContext, job: BenchJob): (isDone: boolean) => void {
	let remaining = job.runTimesMs.length;
	let hasEnded = false;
	return isDone => {
		remaining--;
		if (!hasEnded && (remaining === 0 || !isDone)) {
			hasEnded = true;
			onEnd(job, isDone);
		}
	};
}

/** Creates a function that sends a task over the network to a backend server, which queues it. */
function createTaskPlacer(context: PolicyContext, job: BenchJob, daemonZone: string, onAnswer?: (server: SimulatedServer) => void): PlaceTask {
	const {deployment, timers, fleet} = context;
	const endTask = createJobTracker(context, job);
	return (server, runTimeMs) => {
		if (isPartitioned(context, daemonZone, server.availabilityZone)) {
			endTask(false);
			return;
		}

		const latencyMs = getLatencyMs(deployment, daemonZone, server.availabilityZone);
		timers.addTimer(latencyMs, () => {
			fleet.enqueue(server, runTimeMs, isDone => {
				timers.addTimer(latencyMs, () => {
					onAnswer?.(server);
					endTask(isDone);
				});
			});
		});
	};
}

/** Checks whether a network partition separates two zones. Tasks sent across it are lost. */
function isPartitioned({networkPartition}: PolicyContext, left: string, right: string): boolean {
	return networkPartition.availabilityZone !== undefined && (left === networkPartition.availabilityZone) !== (right === networkPartition.availabilityZone);
}

function pickDaemonZone({deployment, random}: PolicyContext): string {
	return getZoneName(deployment, random.getInteger(0, deployment.daemons - 1));
}

function getQueueLength(server: SimulatedServer): number {
	return server.busySlots + server.waiting.length;
}

/** Sends each task to a random backend server. */
export const createRandomPolicy: CreatePolicy = context => ({
	submit(job) {
		const place = createTaskPlacer(context, job, pickDaemonZone(context));
		for (const runTimeMs of job.runTimesMs) {
			place(context.fleet.servers[context.random.getInteger(0, context.fleet.servers.length - 1)]!, runTimeMs);
		}
	},
	getWastedMessages: () => 0,
});

/** Sends each task to the less loaded of two random backend servers, by the load in their last answers to this daemon. */
export const createTwoChoicesPolicy: CreatePolicy = context => {
	const {deployment, random, fleet} = context;
	const loads = Array.from({length: deployment.daemons}, () => new Map<SimulatedServer, number>());
	const pickServer = () => fleet.servers[random.getInteger(0, fleet.servers.length - 1)]!;
	return {
		submit(job) {
			const daemon = random.getInteger(0, deployment.daemons - 1);
			const knownLoads = loads[daemon]!;
			const place = createTaskPlacer(context, job, getZoneName(deployment, daemon), server => {
				knownLoads.set(server, getQueueLength(server));
			});
			for (const runTimeMs of job.runTimesMs) {
				const [left, right] = [pickServer(), pickServer()];
				const server = (knownLoads.get(left) ?? 0) <= (knownLoads.get(right) ?? 0) ? left : right;
				knownLoads.set(server, (knownLoads.get(server) ?? 0) + 1);
				place(server, runTimeMs);
			}
		},
		getWastedMessages: () => 0,
	};
};

/** Probes twice as many backend servers as a job has tasks, and places each task on the least loaded of them. */
export const createBatchSamplingPolicy: CreatePolicy = context => {
	const {deployment, timers, random, fleet} = context;
	let probeMessages = 0;
	function findLeastLoaded(answers: SampledServer[]): SampledServer {
		let least = answers[0]!;
		for (const answer of answers) {
			least = answer.queueLength < least.queueLength ? answer : least;
		}

		return least;
	}

	return {
		submit(job) {
			const zone = pickDaemonZone(context);
			const place = createTaskPlacer(context, job, zone);
			const sampled = sampleServers(2 * job.runTimesMs.length);
			probeMessages += 2 * sampled.length;
			timers.addTimer(deployment.zoneLatencyMs, () => {
				const answers = sampled.map(server => ({server, queueLength: getQueueLength(server)}));
				timers.addTimer(deployment.zoneLatencyMs, () => {
					for (const runTimeMs of job.runTimesMs) {
						const least = findLeastLoaded(answers);
						least.queueLength++;
						place(least.server, runTimeMs);
					}
				});
			});
		},
		getWastedMessages: () => probeMessages,
	};

	function sampleServers(count: number): SimulatedServer[] {
		const rest = [...fleet.servers];
		const sampled: SimulatedServer[] = [];
		while (sampled.length < count && rest.length > 0) {
			const [server] = rest.splice(random.getInteger(0, rest.length - 1), 1);
			sampled.push(server!);
		}

		return sampled;
	}
};

/** Uses one central queue with immediate and free knowledge of every slot. It is the theoretical bound for the other policies. */
export const createCentralQueuePolicy: CreatePolicy = context => {
	const {deployment, timers, fleet} = context;
	const waiting: Array<{runTimeMs: number; endTask: (isDone: boolean) => void}> = [];
	let head = 0;
	let nextServer = 0;

	function placeWaiting(): void {
		for (let busyServers = 0; busyServers < fleet.servers.length && head < waiting.length;) {
			const server = fleet.servers[nextServer % fleet.servers.length]!;
			nextServer++;
			if (server.busySlots >= server.slots) {
				busyServers++;
				continue;
			}

			busyServers = 0;
			const {runTimeMs, endTask} = waiting[head++]!;
			fleet.tryRun(server, runTimeMs, isDone => {
				timers.addTimer(2 * deployment.localLatencyMs, () => {
					endTask(isDone);
				});
				timers.addTimer(0, placeWaiting);
			});
		}
	}

	return {
		submit(job) {
			const endTask = createJobTracker(context, job);
			for (const runTimeMs of job.runTimesMs) {
				waiting.push({runTimeMs, endTask});
			}

			placeWaiting();
		},
		getWastedMessages: () => 0,
	};
};
