import type {IncomingMessage} from 'node:http';
import {setImmediate} from 'node:timers/promises';
import type {Server} from 'restify';
import type {EvacuationAnswer, EvacuationService} from '../evacuations/evacuation-service.js';
import {getPathParameter} from './get-path-parameter.js';
import {sendJson} from './send-json.js';

/** Turns of the event loop after which a connection that the client has closed is known to be closed. */
const turnsToNoticeClose = 2;

/**
 * Adds the routes with which operators order the evacuation of an availability zone (POST) and withdraw it (DELETE).
 * @param server - The server of the operators' interface.
 * @param evacuations - Stores the orders.
 */
export function addEvacuationRoutes(server: Server, evacuations: EvacuationService): void {
	for (const [method, isEvacuated] of [['post', true], ['del', false]] as const) {
		server[method]('/v1/evacuations/:zone', async (request, response) => {
			const availabilityZone = getPathParameter(request.params, 'zone');
			if (await isClosed(request)) {
				return;
			}

			const answer = await new Promise<EvacuationAnswer>(resolve => {
				evacuations.setEvacuation(availabilityZone, isEvacuated, resolve, () => !request.socket.destroyed);
			});
			const {status, body} = getResponse(answer, availabilityZone, isEvacuated);
			sendJson(response, status, body);
		});
	}
}

function getResponse(answer: EvacuationAnswer, availabilityZone: string, isEvacuated: boolean): {status: number; body: unknown} {
	switch (answer.outcome) {
		case 'stored': {
			return {status: 200, body: {availabilityZone, isEvacuated, revision: answer.revision}};
		}

		case 'no-majority': {
			const message = 'No majority of keepers has stored the order in time; it may still take effect. Send it again, to any daemon.';
			return {status: 503, body: {code: 'unknown', message}};
		}

		case 'unconfirmed': {
			const ids = answer.daemonIds.join(', ');
			const message = `Daemons have not confirmed that they know evacuations: ${ids}. They are of an earlier version or do not respond. Nothing was stored.`;
			return {status: 503, body: {code: 'unconfirmed-daemons', message}};
		}

		case 'unknown-zone': {
			const message = `No daemon and no backend server of availability zone "${availabilityZone}" is known; known are: ${answer.knownZones.join(', ')}.`;
			return {status: 404, body: {code: 'unknown-availability-zone', message}};
		}
	}
}

/**
 * Whether the operator has given up. A request that was waiting while this process was suspended must have no effect: the
 * operator may have sent the order to another daemon and withdrawn it since.
 */
async function isClosed(request: IncomingMessage): Promise<boolean> {
	for (let turn = 0; turn < turnsToNoticeClose; turn++) {
		// eslint-disable-next-line no-await-in-loop -- The turns follow each other.
		await setImmediate();
	}

	return request.socket.destroyed;
}
