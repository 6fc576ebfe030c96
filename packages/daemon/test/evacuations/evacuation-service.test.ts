import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {EvacuationOrderResult} from '@camphortack/consensus';
import {RecordingEventLog} from '@camphortack/testkit';
import {createEvacuationService, type EvacuationAnswer} from '../../src/evacuations/evacuation-service.js';

function order(zone: string, isEvacuated: boolean, result: EvacuationOrderResult) {
	const events = new RecordingEventLog();
	const orders: string[] = [];
	const answers: EvacuationAnswer[] = [];
	const service = createEvacuationService({
		client: {
			setEvacuation(availabilityZone, isOrder, onResult, isWanted) {
				assert.equal(isWanted?.(), false, 'passes on whether the operator still waits');
				orders.push(`${availabilityZone} ${isOrder}`);
				onResult(result);
			},
		},
		events,
		getEvacuations: () => ({revision: 3, availabilityZones: ['gone']}),
		getZones: () => ['south', 'north', 'north'],
	});
	service.setEvacuation(zone, isEvacuated, answer => {
		answers.push(answer);
	}, () => false);
	return {orders, answers, events: events.events.map(({name}) => name)};
}

describe('createEvacuationService', () => {
	const logged = ['evacuation-ordered', 'evacuation-answered'];

	it('logs an order and its answer', () => {
		const rows: EvacuationOrderResult[] = [
			{outcome: 'stored', revision: 4}, {outcome: 'no-majority'}, {outcome: 'unconfirmed', daemonIds: ['n1', 'n2']},
		];
		for (const result of rows) {
			assert.deepEqual(order('north', true, result), {orders: ['north true'], answers: [result], events: logged});
		}
	});

	// A misspelt name would be stored, have no effect and stay in the status.
	it('refuses an unknown availability zone without storing anything', () => {
		const {orders, answers} = order('nroth', true, {outcome: 'stored', revision: 4});
		assert.deepEqual(orders, []);
		assert.deepEqual(answers, [{outcome: 'unknown-zone', knownZones: ['gone', 'north', 'south']}]);
	});

	// All daemons and backend servers of an evacuated zone may be gone by the time of the withdrawal.
	it('can withdraw the evacuation of a zone that nobody knows any more', () => {
		const result: EvacuationOrderResult = {outcome: 'stored', revision: 4};
		assert.deepEqual(order('gone', false, result), {orders: ['gone false'], answers: [result], events: logged});
	});
});
