import {getLatencyMs, getZoneName} from '../bench/deployments.js';
import type {SimulatedServer} from '../simulation/simulated-fleet.js';
import type {CreatePolicy, PolicyContext} from '../simulation/simulation.js';
import type {BenchJob} from '../simulation/workload.js';

type SampledServer = {server: SimulatedServer; length: number};

type PlaceTask = (server: SimulatedServer, runTimeMs: number) => void;

/** Follows a job until all its tasks have ended, or the first has failed. */
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

/** Gets a function that sends a task over the network to a backend server, which queues it. */
function createPlaceTask(context: PolicyContext, job: BenchJob, daemonZone: string, onAnswer?: (server: SimulatedServer) => void): PlaceTask {
	const {deployment, timers, fleet} = context;
	const endTask = createJobTracker(context, job);
	return (server, runTimeMs) => {
		if (isCut(context, daemonZone, server.availabilityZone)) {
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

/** Tasks sent across a cut are lost. */
function isCut({cut}: PolicyContext, left: string, right: string): boolean {
	return cut.availabilityZone !== undefined && (left === cut.availabilityZone) !== (right === cut.availabilityZone);
}

function pickDaemonZone({deployment, random}: PolicyContext): string {
	return getZoneName(deployment, random.getInteger(0, deployment.daemons - 1));
}

function getQueueLength(server: SimulatedServer): number {
	return server.busySlots + server.waiting.length;
}

/** Each task goes to any backend server. */
export const createRandomPolicy: CreatePolicy = context => ({
	submit(job) {
		const place = createPlaceTask(context, job, pickDaemonZone(context));
		for (const runTimeMs of job.runTimesMs) {
			place(context.fleet.servers[context.random.getInteger(0, context.fleet.servers.length - 1)]!, runTimeMs);
		}
	},
	getWastedMessages: () => 0,
});

/** Each task goes to the less loaded of two backend servers, as their last answers to this daemon told. */
export const createTwoChoicesPolicy: CreatePolicy = context => {
	const {deployment, random, fleet} = context;
	const loads = Array.from({length: deployment.daemons}, () => new Map<SimulatedServer, number>());
	const pick = () => fleet.servers[random.getInteger(0, fleet.servers.length - 1)]!;
	return {
		submit(job) {
			const daemon = random.getInteger(0, deployment.daemons - 1);
			const known = loads[daemon]!;
			const place = createPlaceTask(context, job, getZoneName(deployment, daemon), server => {
				known.set(server, getQueueLength(server));
			});
			for (const runTimeMs of job.runTimesMs) {
				const [left, right] = [pick(), pick()];
				const server = (known.get(left) ?? 0) <= (known.get(right) ?? 0) ? left : right;
				known.set(server, (known.get(server) ?? 0) + 1);
				place(server, runTimeMs);
			}
		},
		getWastedMessages: () => 0,
	};
};

/** Each job asks twice as many backend servers as it has tasks, and fills up the least loaded ones. */
export const createBatchSamplingPolicy: CreatePolicy = context => {
	const {deployment, timers, random, fleet} = context;
	let probes = 0;
	function findLeast(answers: SampledServer[]): SampledServer {
		let least = answers[0]!;
		for (const answer of answers) {
			least = answer.length < least.length ? answer : least;
		}

		return least;
	}

	return {
		submit(job) {
			const zone = pickDaemonZone(context);
			const place = createPlaceTask(context, job, zone);
			const sampled = sample(2 * job.runTimesMs.length);
			probes += 2 * sampled.length;
			timers.addTimer(deployment.zoneLatencyMs, () => {
				const answers = sampled.map(server => ({server, length: getQueueLength(server)}));
				timers.addTimer(deployment.zoneLatencyMs, () => {
					for (const runTimeMs of job.runTimesMs) {
						const least = findLeast(answers);
						least.length++;
						place(least.server, runTimeMs);
					}
				});
			});
		},
		getWastedMessages: () => probes,
	};

	function sample(count: number): SimulatedServer[] {
		const rest = [...fleet.servers];
		const sampled: SimulatedServer[] = [];
		while (sampled.length < count && rest.length > 0) {
			const [server] = rest.splice(random.getInteger(0, rest.length - 1), 1);
			sampled.push(server!);
		}

		return sampled;
	}
};

/** One queue that knows every slot at once, at no cost: the bound. */
export const createCentralQueuePolicy: CreatePolicy = context => {
	const {deployment, timers, fleet} = context;
	const waiting: Array<{runTimeMs: number; endTask: (isDone: boolean) => void}> = [];
	let head = 0;
	let next = 0;

	function placeWaiting(): void {
		for (let tried = 0; tried < fleet.servers.length && head < waiting.length;) {
			const server = fleet.servers[next % fleet.servers.length]!;
			next++;
			if (server.busySlots >= server.slots) {
				tried++;
				continue;
			}

			tried = 0;
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
