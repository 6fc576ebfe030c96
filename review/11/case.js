import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {call} from '../lib-3/call.js';
import {createConfiguration} from '../lib-3/configuration.js';
import {createDeployment} from '../lib-3/deployment.js';
import {runCase} from '../lib-3/run-case.js';
import {createJob} from '../lib-3/small-site.js';
import {createWorker} from '../lib-3/worker.js';

const zones = ['ostalpen-a', 'ostalpen-b', 'ostalpen-c'];
const cutZone = 'ostalpen-b';
const workersPerZone = 12;
const service = 'dele69a';
const hostName = 'novo13.example';
const pathPrefix = '/volo102/';
const clientTimeoutMs = 15_000;
const jobCount = 48;
const cutMs = 5500;
/** From the first order of the core machine of the zone to a worker there, until it is killed. */
const killAfterMs = 250;
const claimsPerTerm = 256;
const daemonNumberRange = 2 ** 24;
const job = createJob({
	taskMs: 5000, steps: 1, count: 1, cpu: 30_000,
});

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({record, isDisrupted, onEnd}) => {
	const deployment = await createDeployment({
		zones, entriesPerZone: 2, record, canCut: true,
	});
	onEnd(deployment.end);
	deployment.start();
	const history = [];
	const killed = deployment.keepers.find(({zone}) => zone === cutZone);
	let isKillDue = false;
	const machinesByNumber = new Map(deployment.machines.map(machine => [getDaemonNumber(machine.ip), machine]));

	/** Whether the cut is between a worker and the machine that sends it an order, or any machine of another zone if none is given. */
	function isCutBetween(workerZone, token) {
		const senderZone = token === undefined ? undefined : machinesByNumber.get(Math.floor(token / claimsPerTerm) % daemonNumberRange)?.zone;
		const current = deployment.getCutZone();
		return current !== undefined && (workerZone === current) !== (senderZone === current);
	}

	/** Kills the core machine of the zone that is cut off, once it has given an order to a worker there. */
	function handleOrder({fencingToken}) {
		const sender = machinesByNumber.get(Math.floor(fencingToken / claimsPerTerm) % daemonNumberRange);
		if (isKillDue && sender === killed) {
			isKillDue = false;
			setTimeout(() => {
				deployment.signal(killed, 'SIGKILL');
			}, killAfterMs);
		}
	}

	for (const [position, zone] of zones.entries()) {
		for (let number = 1; number <= workersPerZone; number++) {
			// eslint-disable-next-line no-await-in-loop -- One after the other.
			const worker = await createWorker({
				id: `i-${zone}-${number}`,
				service,
				zone,
				host: `${deployment.prefix}.${150 + position}`,
				keepers: deployment.keepers,
				capacity: {cpu: 64_000, memMb: 131_072, gpu: 0},
				getTaskMs: (task, spec) => Number(spec),
				history,
				record,
				isCutFrom: token => isCutBetween(zone, token),
				onOrder: handleOrder,
			});
			onEnd(worker.close);
		}
	}

	await deployment.putConfiguration(createConfiguration({
		version: 1, service, host: hostName, pathPrefix, timeoutMs: clientTimeoutMs,
	}));
	await deployment.waitUntilReady();
	await delay(5000);
	const entries = deployment.entries.filter(({zone}) => zone !== cutZone);
	const submissions = Array.from({length: jobCount}, async (_, number) => {
		const {host, front, name} = entries[number % entries.length];
		const jobId = String(number).padStart(16, '0');
		record.write('client-sends', {method: 'POST', job: jobId, machine: name});
		const answer = await call({
			host, port: front, method: 'POST', path: `${pathPrefix}${jobId}`, headers: {host: hostName, 'deadline-remaining': clientTimeoutMs}, body: job, timeoutMs: clientTimeoutMs,
		});
		record.write('client-gets', {method: 'POST', job: jobId, ...answer});
		return answer;
	});
	await delay(1500);
	if (isDisrupted) {
		isKillDue = true;
		deployment.setCutZone(cutZone);
		await delay(cutMs);
		deployment.setCutZone(undefined);
	}

	const answers = await Promise.all(submissions);
	if (answers.every(({status}) => status !== 200)) {
		throw new Error('the system does not serve');
	}

	await delay(500);
	return findConcurrentRuns(history);
});

/** The number that a daemon puts into its fencing tokens: the low digits of its address. */
function getDaemonNumber(ip) {
	const [, second, third, fourth] = ip.split('.').map(Number);
	return (((second * 256) + third) * 256) + fourth;
}

function findConcurrentRuns(history) {
	const active = new Map();
	const pairs = [];
	for (const entry of history) {
		const key = `${entry.task} ${entry.worker}`;
		if (entry.event === 'ended') {
			active.get(key).endedAtMs = entry.atMs;
			active.delete(key);
			continue;
		}

		const others = [...active.values()].filter(({task}) => task === entry.task);
		pairs.push(...others.map(other => [other, entry]));
		active.set(key, entry);
	}

	return pairs
		.filter(([first, second]) => first.endedAtMs > second.atMs)
		.map(([first, second]) => `TWICE: ${first.task} run ${first.run} on ${first.worker} and run ${second.run} on ${second.worker} together for ${first.endedAtMs - second.atMs} ms`);
}
