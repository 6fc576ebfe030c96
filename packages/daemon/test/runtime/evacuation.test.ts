import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {createStandInBackendServer} from '@camphortack/testkit';
import type {DaemonAddresses} from '../../src/index.js';
import {createTestDaemons} from '../support/test-daemons.js';
import {
	countStarts, createJobBody, publishObjects, sendJson, type JsonResponse,
} from '../support/test-system.js';

/** Repeats a request until the response is as expected. The timeout of the test ends a wait that does not succeed. */
async function waitFor(sendRequest: () => Promise<JsonResponse>, isExpected: (answer: JsonResponse) => boolean): Promise<JsonResponse> {
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- Polls until the response is as expected.
		const answer = await sendRequest();
		if (isExpected(answer)) {
			return answer;
		}

		// eslint-disable-next-line no-await-in-loop -- Pauses between two requests.
		await wait(50);
	}
}

const getStatus = async ({operatorsUrl}: DaemonAddresses) => sendJson('GET', `${operatorsUrl}/v1/status`);
const order = async (method: string, {operatorsUrl}: DaemonAddresses, zone: string) => sendJson(method, `${operatorsUrl}/v1/evacuations/${zone}`);
const submit = async ({callersUrl}: DaemonAddresses) => sendJson('POST', `${callersUrl}/v1/jobs`, createJobBody(20));

describe('daemons of two availability zones, one without a disk', {timeout: 120_000}, () => {
	// The order goes to the daemon without a keeper; one that starts afterwards has never heard of it.
	it('evacuate a zone, start nothing there after a restart either, and use it again', async context => {
		const daemons = await createTestDaemons('n1, n2, s1');
		context.after(daemons.cleanUp);
		// Nothing listens on port 1. The actual address of n2 arrives with its first message.
		const first = await daemons.startChild('n1', 'north', 'n2@north@127.0.0.1:1');
		const seed = `n1@north@127.0.0.1:${first.addresses.peersPort}`;
		const others = [await daemons.startChild('n2', 'north', seed), await daemons.startChild('s1', 'south', seed)];
		// As in a deployment, the seeds name daemons of every zone; a daemon without one knows the other zones late.
		const seeds = `${seed}, s1@south@127.0.0.1:${others[1]!.addresses.peersPort}`;
		const entry = await daemons.startChild('n3', 'north', seeds, 'entry');
		const all = [first, ...others, entry].map(daemon => daemon.addresses);
		await waitFor(async () => publishObjects(first.addresses), answer => answer.status === 200);
		for (const addresses of all) {
			// eslint-disable-next-line no-await-in-loop -- Handles one daemon after the other.
			await waitFor(async () => sendJson('GET', `${addresses.callersUrl}/readyz`), answer => answer.status === 200);
		}

		const createServer = async (id: string, availabilityZone: string, {backendServersUrl}: DaemonAddresses) => {
			const server = await createStandInBackendServer({
				id, services: ['quote'], availabilityZone, announceUrl: backendServersUrl,
			});
			context.after(async () => server.close());
			await server.announce();
			return server;
		};

		const north = await createServer('north-1', 'north', first.addresses);
		const south = await createServer('south-1', 'south', others[1]!.addresses);
		const unknown = await order('POST', entry.addresses, 'nroth');
		assert.deepEqual([unknown.status, unknown.body.code], [404, 'unknown-availability-zone']);
		const stored = await waitFor(async () => order('POST', entry.addresses, 'north'), answer => answer.status === 200);
		assert.deepEqual(stored.body, {availabilityZone: 'north', isEvacuated: true, revision: 1});
		const repeated = await order('POST', first.addresses, 'north');
		assert.deepEqual(repeated.body, stored.body);
		await Promise.all(all.map(async addresses => waitFor(async () => getStatus(addresses), ({body}) =>
			JSON.stringify(body.evacuations) === JSON.stringify({revision: 1, availabilityZones: ['north']}))));

		const late = await daemons.startChild('n4', 'north', seeds, 'entry');
		await waitFor(async () => sendJson('GET', `${late.addresses.callersUrl}/readyz`), answer => answer.status === 200);
		const startsBefore = countStarts([north]);
		const answers = await Promise.all([...all, late.addresses].map(async addresses => waitFor(async () => submit(addresses), answer => answer.status === 200)));
		assert.deepEqual(answers.map(({body}) => body.outcome), answers.map(() => 'complete'));
		assert.equal(countStarts([north]), startsBefore);
		assert.equal(countStarts([south]), 100);

		await waitFor(async () => order('DELETE', late.addresses, 'north'), answer => answer.status === 200);
		await waitFor(async () => {
			await submit(first.addresses);
			return {...await getStatus(first.addresses), status: countStarts([north]) > startsBefore ? 200 : 503};
		}, answer => answer.status === 200);
	});
});
