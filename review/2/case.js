import {pause} from '../lib/call.js';
import {
	bulkQueue, countTogether, getJob, getJobId, longQueue, playCase,
} from '../lib/case.js';

const retransmitMs = 1300;
const loadMs = 1300;
const workersPerZone = 40;
const taskMs = 6000;
const callerTimeoutMs = 15_000;

await playCase({
	file: import.meta.url, rule: 'TWICE', zones: ['north', 'south', 'west'], entriesPerZone: 3, hasProxies: true, workersPerZone, route: {stretch: 1.1, targetDurationMs: 60},
}, async ({hasTrouble, deployment, platform, log, send, waitFor, getRuns}) => {
	const loadId = getJobId();
	const load = send(platform.select('north', 1), 'POST', loadId, {
		queue: bulkQueue, body: getJob([loadMs], {count: workersPerZone, cpu: 64_000}), timeoutMs: callerTimeoutMs,
	});
	if (!await waitFor(() => getRuns(loadId).length === workersPerZone, 2000)) {
		throw new Error('the load does not start');
	}

	const jobId = getJobId();
	const body = getJob([taskMs]);
	const first = platform.select('north', 0);
	let connection;
	const answer = send(first, 'POST', jobId, {
		queue: longQueue, body, timeoutMs: callerTimeoutMs, onRequest(request) {
			connection = request;
		},
	});
	if (!await waitFor(() => getRuns(jobId).length > 0, 2000)) {
		throw new Error('the job does not start');
	}

	const {zone} = getRuns(jobId)[0];
	log('started', {zone});
	await pause(300);
	if (hasTrouble) {
		const linkCount = deployment.proxies.reduce((sum, proxy) => sum + proxy.countFrom(first.ip), 0) + deployment.proxies.find(({host}) => host === first.ip).getLinkCount();
		const keeper = deployment.keepers.find(other => other.zone === zone);
		const resetCount = deployment.proxies.find(({host}) => host === keeper.ip).reset(first.ip);
		connection.socket.resetAndDestroy();
		log('reset', {machine: first.name, connections: linkCount + 1, resets: resetCount + 1});
	}

	let reply = await answer;
	if (reply.status === 0 || reply.status === 502 || reply.status === 504) {
		await pause(retransmitMs);
		reply = await send(platform.select('north', 2), 'POST', jobId, {queue: longQueue, body, timeoutMs: callerTimeoutMs});
	}

	await load;
	return countTogether(getRuns(jobId), log);
});
