import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {configurationObjectsSchema} from '@camphortack/configuration';
import {createSeededRandomSource} from '@camphortack/core';
import {
	FakeNetwork, RecordingEventLog, RecordingMetricSink, VirtualTimers,
} from '@camphortack/testkit';
import {createDistributedLimiter, type LimitDecision} from '../../src/index.js';

const objects = configurationObjectsSchema.parse({
	pools: {walnut: {}},
	services: {quote: {pool: 'walnut'}},
	customers: {workshop: {limits: ['bill']}},
	limits: {bill: {tasksInFlight: 10}},
});

/** Requests admission of one task from a single daemon, `waitMs` after its start. */
function requestTaskAfter(waitMs: number, isFirstStart: () => boolean): LimitDecision[] {
	const timers = new VirtualTimers();
	const random = createSeededRandomSource(1);
	const network = new FakeNetwork({timers, random});
	const decisions: LimitDecision[] = [];
	const own = {
		id: 'daemon-1', incarnation: 'one', availabilityZone: 'zone-1', roles: ['entry'] as const, host: '127.0.0.1', peerPort: 1,
	};
	const limiter = createDistributedLimiter({
		ownId: own.id, incarnation: own.incarnation, availabilityZone: own.availabilityZone, timers, random, isFirstStart,
		metrics: new RecordingMetricSink(), events: new RecordingEventLog(),
		peers: network.addPeer(own.id, (fromPeerId, message) => {
			limiter.handlePeerMessage(fromPeerId, message);
		}),
	});
	limiter.setMembers([own]);
	limiter.setConfiguration({version: 1, objects});
	timers.advance(waitMs);
	limiter.requestAdmission({
		jobId: 'job', customer: 'workshop', service: 'quote', pool: 'walnut', taskCount: 1, expectedWorkerSeconds: 1,
	}, decision => {
		decisions.push(decision);
	});
	timers.advance(1000);
	return decisions;
}

describe('limits after the start of a single daemon', () => {
	const tenMinutesMs = 600_000;
	const rows: Array<{name: string; waitMs: number; isFirstStart: boolean; isAdmitted: boolean}> = [
		{
			name: 'are available at the first start of the system', waitMs: 0, isFirstStart: true, isAdmitted: true,
		},
		{
			name: 'count as used immediately after any other start', waitMs: 0, isFirstStart: false, isAdmitted: false,
		},
		{
			name: 'are available once the longest task of an earlier process must have ended', waitMs: tenMinutesMs * 1.1, isFirstStart: false, isAdmitted: true,
		},
	];
	for (const {name, waitMs, isFirstStart, isAdmitted} of rows) {
		it(name, () => {
			assert.deepEqual(requestTaskAfter(waitMs, () => isFirstStart).map(decision => decision.isAdmitted), [isAdmitted]);
		});
	}
});
