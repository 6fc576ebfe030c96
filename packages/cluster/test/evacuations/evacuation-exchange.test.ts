import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import {createEvacuationExchange, type EvacuationExchange} from '../../src/evacuations/evacuation-exchange.js';
import {clusterMessageSchema, type ClusterMessage} from '../../src/messages/cluster-messages.js';

function createTestExchange(): {timers: VirtualTimers; exchange: EvacuationExchange; sent: ClusterMessage[]; events: RecordingEventLog} {
	const timers = new VirtualTimers();
	const events = new RecordingEventLog();
	const sent: ClusterMessage[] = [];
	const exchange = createEvacuationExchange({
		timers,
		events,
		metrics: new RecordingMetricSink(),
		send(_toId, message) {
			sent.push(message);
		},
		onChange() {
			// The tests read the state.
		},
	});
	return {
		timers, exchange, sent, events,
	};
}

describe('createEvacuationExchange', () => {
	// Guards against a late message that withdraws or restores an evacuation.
	it('never replaces a higher revision by a lower one', () => {
		const {exchange} = createTestExchange();
		exchange.setEvacuations({revision: 2, availabilityZones: []});
		exchange.setEvacuations({revision: 1, availabilityZones: ['a']});
		assert.deepEqual(exchange.getEvacuations(), {revision: 2, availabilityZones: []});
	});

	it('requests a higher revision from whoever names it, at a limited rate', () => {
		const {timers, exchange, sent} = createTestExchange();
		exchange.handleRevision('old daemon', undefined);
		exchange.handleRevision('keeper', 0);
		assert.deepEqual(sent, []);
		exchange.handleRevision('keeper', 3);
		exchange.handleRevision('other', 3);
		timers.advance(100);
		exchange.handleRevision('other', 3);
		assert.deepEqual(sent, [{kind: 'cluster.evacuations-request', knownRevision: 0}, {kind: 'cluster.evacuations-request', knownRevision: 0}]);
	});

	it('answers a request with what the sender lacks, in a message that is read back', () => {
		const {exchange, sent} = createTestExchange();
		exchange.answerRequest('entry', 0);
		exchange.setEvacuations({revision: 2, availabilityZones: ['a']});
		exchange.answerRequest('entry', 2);
		exchange.answerRequest('entry', 1);
		assert.deepEqual(sent, [{kind: 'cluster.evacuations', revision: 2, availabilityZones: ['a']}]);
		assert.deepEqual(clusterMessageSchema.parse(sent[0]), sent[0]);
	});

	it('logs what comes into force and what ends, and tells since when', () => {
		const {timers, exchange, events} = createTestExchange();
		exchange.setEvacuations({revision: 1, availabilityZones: ['a']});
		timers.advance(300);
		exchange.setEvacuations({revision: 2, availabilityZones: ['a', 'b']});
		assert.deepEqual([exchange.findEvacuatedMs('a'), exchange.findEvacuatedMs('b'), exchange.findEvacuatedMs('c')], [300, 0, undefined]);
		exchange.setEvacuations({revision: 3, availabilityZones: ['b']});
		assert.deepEqual(events.events.map(({name, fields}) => [name, fields.availabilityZone]), [
			['evacuation-in-force', 'a'], ['evacuation-in-force', 'b'], ['evacuation-ended', 'a'],
		]);
	});
});
