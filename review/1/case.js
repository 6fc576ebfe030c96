import {call, pause} from '../lib/call.js';
import {bounds, playCase} from '../lib/case.js';

const successorMs = 1000 * (bounds.catchUpS + 1);
const betweenMs = 1000;
const readIntervalMs = 250;
const version = 7;

await playCase({
	file: import.meta.url, rule: 'CONFIG', zones: ['north', 'south', 'west'], entriesPerZone: 1, workersPerZone: 4,
}, async ({hasTrouble, deployment, log, getNowMs, waitFor}) => {
	async function read(name) {
		const {ip} = deployment.keepers.find(keeper => keeper.name === name);
		const {status, body} = await call({
			host: ip, port: deployment.ports.control, method: 'GET', path: '/api/config', timeoutMs: 1000,
		});
		log('read', {from: name, status, version: body?.version});
		return status === 200 ? body.version : undefined;
	}

	async function stop(name) {
		deployment.signal(name, 'SIGTERM');
		if (!await waitFor(() => !deployment.isRunning(name), 1000 * bounds.graceS)) {
			throw new Error(`${name} does not stop`);
		}
	}

	// The new machines come first, and have had their time before an old one is stopped.
	const replaced = deployment.keepers.map(({name}) => name).slice(0, hasTrouble ? 2 : 0);
	const successors = replaced.map(name => deployment.addReplacement(name));
	for (const name of successors) {
		deployment.start(name, false);
	}

	await pause(successorMs);
	for (const name of successors) {
		// eslint-disable-next-line no-await-in-loop -- One read after the other.
		if (await read(name) !== version) {
			throw new Error(`${name} does not show the configuration`);
		}
	}

	for (const name of replaced) {
		// eslint-disable-next-line no-await-in-loop -- One after the other, each after the one before has ended.
		await stop(name);
		// eslint-disable-next-line no-await-in-loop -- One after the other.
		await pause(betweenMs);
	}

	await pause(1000 * bounds.recoveryS);
	const endMs = getNowMs() + (3 * bounds.stabilityWindowMs);
	const running = deployment.keepers.map(({name}) => name).filter(name => deployment.isRunning(name));
	let reads = 0;
	let newest;
	while (newest === undefined && getNowMs() < endMs) {
		// eslint-disable-next-line no-await-in-loop -- One read after the other.
		newest = await read(running[reads % running.length]);
		reads++;
		// eslint-disable-next-line no-await-in-loop -- Between two reads.
		await pause(readIntervalMs);
	}

	log('read-back', {reads, newest, running});
	return newest === version ? 0 : 1;
});
