import assert from 'node:assert/strict';
import {describe, it, type TestContext} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {createStandInBackendServer, type StandInBackendServer} from '@camphortack/testkit';
import {createTestDaemons, type ChildDaemon, type TestDaemons} from '../support/test-daemons.js';
import {
	createJobBody, publishObjects, sendJson, type JsonResponse,
} from '../support/test-system.js';

const zones = ['north', 'east', 'south'];
const daemonIds = ['n1', 'n2', 'e1', 'e2', 's1', 's2'];
const jobsPerRound = 12;
const tasksPerJob = 4;

type Cluster = {
	daemons: TestDaemons;
	running: Map<string, ChildDaemon>;
	servers: StandInBackendServer[];
};

function getZone(daemonId: string): string {
	return zones.find(zone => zone.startsWith(daemonId.slice(0, 1)))!;
}

async function startDaemon({daemons, running}: Cluster, id: string): Promise<void> {
	const others = [...running].map(([otherId, {addresses}]) => `${otherId}@${getZone(otherId)}@127.0.0.1:${addresses.peersPort}`);
	// Nothing listens on port 1. The first daemon learns of the others when they contact it.
	const seeds = others.length === 0 ? ['e1@east@127.0.0.1:1'] : others;
	running.set(id, await daemons.startChild(id, getZone(id), seeds.join(', ')));
}

/** Announces all backend servers to all daemons, as the load balancer of the platform does over time. */
async function announceAll({running, servers}: Cluster): Promise<void> {
	await Promise.all([...running.values()].flatMap(({addresses}) => servers.map(async ({announcement}) =>
		sendJson('POST', `${addresses.backendServersUrl}/v1/backend-servers`, announcement))));
}

/** Repeats a request until the response status is 200. */
async function waitForOk(sendRequest: () => Promise<JsonResponse>): Promise<void> {
	for (let answer = await sendRequest(); answer.status !== 200; answer = await sendRequest()) { // eslint-disable-line no-await-in-loop -- Polls until the response is 200.
		// eslint-disable-next-line no-await-in-loop -- Pauses between two requests.
		await wait(50);
	}
}

async function waitUntilReady({running}: Cluster): Promise<void> {
	for (const {addresses} of running.values()) {
		// eslint-disable-next-line no-await-in-loop -- Waits for one daemon after the other.
		await waitForOk(async () => sendJson('GET', `${addresses.callersUrl}/readyz`));
	}
}

/** Submits a job. Returns undefined if the daemon was killed before it responded. */
async function submitJob(daemon: ChildDaemon, id: string): Promise<JsonResponse | undefined> {
	try {
		const tasks = Array.from({length: tasksPerJob}, (_, index) => ({payload: {index, runTimeMs: 100}}));
		return await sendJson('POST', `${daemon.addresses.callersUrl}/v1/jobs`, createJobBody(0, {id, tasks, deadlineMs: 5000}));
	} catch {
		return undefined;
	}
}

async function runRound(cluster: Cluster, killedId: string): Promise<Array<[string, JsonResponse | undefined]>> {
	const ids = Array.from({length: jobsPerRound}, (_, index) => `${killedId}-${index}`);
	const live = [...cluster.running.values()];
	const firstAnswers = ids.map(async (id, index) => submitJob(live[index % live.length]!, id));
	await wait(50);
	await cluster.running.get(killedId)!.kill();
	cluster.running.delete(killedId);
	await Promise.all(firstAnswers);
	await startDaemon(cluster, killedId);
	await waitUntilReady(cluster);
	await announceAll(cluster);
	const liveAfterRestart = [...cluster.running.values()];
	return Promise.all(ids.map(async (id, index): Promise<[string, JsonResponse | undefined]> =>
		[id, await submitJob(liveAfterRestart[(index + 1) % liveAfterRestart.length]!, id)]));
}

async function createCluster(context: TestContext): Promise<Cluster> {
	const daemons = await createTestDaemons('n1, e1, s1');
	context.after(daemons.cleanUp);
	const servers = await Promise.all(zones.map(async zone => createStandInBackendServer({
		id: `backend-${zone}`, services: ['quote'], availabilityZone: zone,
	})));
	context.after(async () => Promise.all(servers.map(async server => server.close())));
	const cluster: Cluster = {daemons, running: new Map(), servers};
	for (const id of daemonIds) {
		// eslint-disable-next-line no-await-in-loop -- Each daemon contacts those started before it.
		await startDaemon(cluster, id);
	}

	const [first] = cluster.running.values();
	await waitForOk(async () => publishObjects(first!.addresses));
	await waitUntilReady(cluster);
	await announceAll(cluster);
	return cluster;
}

describe('six daemons in three availability zones, each killed and restarted under load', {timeout: 300_000}, () => {
	it('start no task twice, whichever daemon gets a resubmission, and report outcomes that match the starts', async context => {
		const cluster = await createCluster(context);
		const answers: Array<[string, JsonResponse | undefined]> = [];
		for (const killedId of daemonIds) {
			// eslint-disable-next-line no-await-in-loop -- One daemon is killed at a time.
			answers.push(...await runRound(cluster, killedId));
		}

		const starts = new Map(cluster.servers.flatMap(server => [...server.starts]));
		const startsByServer = cluster.servers.flatMap(server => [...server.starts.keys()]);
		assert.equal(new Set(startsByServer).size, startsByServer.length, 'a task started at two backend servers');
		assert.deepEqual([...starts].filter(([, count]) => count > 1), []);
		for (const [id, answer] of answers) {
			const started = [...starts.keys()].filter(key => key.startsWith(`${id}/`)).length;
			assert.ok(answer !== undefined, `${id} got no response`);
			if (answer.body.outcome === 'complete') {
				assert.equal(started, tasksPerJob, id);
			}

			if (answer.body.outcome === 'refused' && answer.body.notRun === 'job') {
				assert.equal(started, 0, id);
			}
		}

		const counts = new Map<string, number>();
		for (const [, answer] of answers) {
			const name = String(answer?.body.code ?? answer?.body.reason ?? answer?.body.outcome);
			counts.set(name, (counts.get(name) ?? 0) + 1);
		}

		context.diagnostic(JSON.stringify(Object.fromEntries(counts)));
		assert.ok((counts.get('complete') ?? 0) > 0, 'no job completed');
	});
});
