import {LimitCluster} from '../../../proof/src/explore/limits/limit-cluster.js';

/**
 * Prints, for three ways of enforcing one declared rate, the messages per second and the ratio of tasks refused although
 * the rate would have allowed them. All three get the same jobs, generated from the same seed.
 */
const tasksPerSecond = 400;
const measuredMs = 60_000;
const stepMs = 20;
const zones = 3;
const nodesPerZone = 2;

type Offer = {atMs: number; nodeId: string; taskCount: number};

/** A plain token bucket for a rate. */
function createBucket(rate: number) {
	let tokens = rate;
	let atMs = 0;
	return (count: number, nowMs: number) => {
		tokens = Math.min(rate, tokens + ((nowMs - atMs) / 1000 * rate));
		atMs = nowMs;
		const fits = tokens >= count;
		tokens -= fits ? count : 0;
		return fits;
	};
}

function createOffers(load: number, unevenness: string): Offer[] {
	const cluster = new LimitCluster({seed: 3, zones, nodesPerZone});
	const offers: Offer[] = [];
	for (let atMs = 0; atMs < measuredMs; atMs += stepMs) {
		const taskCount = cluster.random.getInteger(1, 15);
		const busyNodes = unevenness === 'even' ? zones * nodesPerZone : 1;
		const turn = unevenness === 'moving' ? Math.floor(atMs / 10_000) : 0;
		const number = (turn + cluster.random.getInteger(0, busyNodes - 1)) % (zones * nodesPerZone);
		if (cluster.random.getFraction() < load * tasksPerSecond * stepMs / 1000 / 8) {
			offers.push({atMs, nodeId: `z${Math.floor(number / nodesPerZone)}n${number % nodesPerZone}`, taskCount});
		}
	}

	return offers;
}

function runLeased(offers: readonly Offer[]) {
	const cluster = new LimitCluster({seed: 4, zones, nodesPerZone});
	cluster.start({limits: {bill: {tasksPerSecond, burstSeconds: 1}}});
	cluster.timers.advance(15_000);
	const {sentMessages} = cluster.network.totals;
	const startMs = cluster.timers.getNowMs();
	for (const offer of offers) {
		cluster.timers.advance(startMs + offer.atMs - cluster.timers.getNowMs());
		cluster.offer(offer.nodeId, offer.taskCount, 200);
	}

	cluster.timers.advance(1000);
	return {admitted: cluster.admittedTasks, messages: cluster.network.totals.sentMessages - sentMessages};
}

function runFixed(offers: readonly Offer[]) {
	const buckets = new Map<string, ReturnType<typeof createBucket>>();
	let admitted = 0;
	for (const {nodeId, taskCount, atMs} of offers) {
		const take = buckets.get(nodeId) ?? createBucket(tasksPerSecond / zones / nodesPerZone);
		buckets.set(nodeId, take);
		admitted += take(taskCount, atMs) ? taskCount : 0;
	}

	return {admitted, messages: 0};
}

/** One message in each direction per job. A central counter sees every job, but fails with its VM or with the link to it. */
function runCentral(offers: readonly Offer[]) {
	const take = createBucket(tasksPerSecond);
	let admitted = 0;
	for (const {taskCount, atMs} of offers) {
		admitted += take(taskCount, atMs) ? taskCount : 0;
	}

	return {admitted, messages: 2 * offers.length};
}

for (const load of [0.5, 0.9, 1.5]) {
	for (const unevenness of ['even', 'one-daemon', 'moving']) {
		const offers = createOffers(load, unevenness);
		const central = runCentral(offers);
		for (const [way, result] of [['fixed', runFixed(offers)], ['leased', runLeased(offers)], ['central', central]] as const) {
			console.log(JSON.stringify({
				load,
				unevenness,
				way,
				messagesPerSecond: Number((result.messages / measuredMs * 1000).toFixed(1)),
				refusedThoughFree: Number(Math.max(0, 1 - (result.admitted / central.admitted)).toFixed(3)),
			}));
		}
	}
}
