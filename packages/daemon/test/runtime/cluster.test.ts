import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {createStandInBackendServer} from '@camphortack/testkit';
import {z} from 'zod';
import type {DaemonAddresses} from '../../src/index.js';
import {createTestDaemons} from '../support/test-daemons.js';
import {
	countStarts, createJobBody, publishObjects, sendJson, type JsonResponse,
} from '../support/test-system.js';

const membersSchema = z.array(z.object({id: z.string(), isAlive: z.boolean()}));

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

async function waitForMembers(addresses: DaemonAddresses, expected: string): Promise<void> {
	const getText = ({body}: JsonResponse) => {
		const members = membersSchema.parse(body.members);
		return members.map(({id, isAlive}) => `${id} ${isAlive ? 'up' : 'down'}`).toSorted().join(', ');
	};

	await waitFor(async () => sendJson('GET', `${addresses.operatorsUrl}/v1/status`), answer => getText(answer) === expected);
}

describe('daemons of two availability zones', {timeout: 120_000}, () => {
	it('discover each other, publish to all, share backend servers, and continue when others stop or are killed', async context => {
		const daemons = await createTestDaemons('n1, n2, n3');
		context.after(daemons.cleanUp);
		// Nothing listens on port 1. The actual address of n2 arrives with its first message.
		const first = await daemons.start('n1', 'north', 'n2@north@127.0.0.1:1');
		const seed = `n1@north@127.0.0.1:${first.addresses.peersPort}`;
		const second = await daemons.startChild('n2', 'north', seed);
		const third = await daemons.start('n3', 'south', seed);
		const all = [first, second, third].map(daemon => daemon.addresses);
		for (const addresses of all) {
			// eslint-disable-next-line no-await-in-loop -- Handles one daemon after the other.
			await waitForMembers(addresses, 'n1 up, n2 up, n3 up');
		}

		const published = await waitFor(async () => publishObjects(first.addresses), answer => answer.status === 200);
		assert.equal(published.body.version, 1);
		for (const {callersUrl} of all) {
			// eslint-disable-next-line no-await-in-loop -- Handles one daemon after the other.
			await waitFor(async () => sendJson('GET', `${callersUrl}/readyz`), answer => answer.status === 200);
		}

		const server = await createStandInBackendServer({
			id: 'backend-1', services: ['quote'], availabilityZone: 'north', announceUrl: first.addresses.backendServersUrl,
		});
		await server.announce();
		const submit = async ({callersUrl}: DaemonAddresses) => sendJson('POST', `${callersUrl}/v1/jobs`, createJobBody(20));
		const answers = [];
		for (const addresses of all) {
			// eslint-disable-next-line no-await-in-loop -- Handles one daemon after the other.
			answers.push(await submit(addresses));
		}

		assert.deepEqual(answers.map(({status, body}) => [status, body.outcome]), all.map(() => [200, 'complete']));
		assert.equal(countStarts([server]), 60);

		await third.stop();
		await waitForMembers(first.addresses, 'n1 up, n2 up');
		await second.kill();
		await waitForMembers(first.addresses, 'n1 up, n2 down');
		const last = await submit(first.addresses);
		assert.deepEqual([last.status, last.body.outcome], [200, 'complete']);
		assert.equal(countStarts([server]), 80);
		await first.stop();
		await server.close();
	});
});
