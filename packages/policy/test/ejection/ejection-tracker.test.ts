import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import {createEjectionTracker, type AttemptResult} from '../../src/index.js';

const serverIds = Array.from({length: 10}, (_, index) => `b${index}`);

function createFixture() {
	const timers = new VirtualTimers();
	const metrics = new RecordingMetricSink();
	const events = new RecordingEventLog();
	const random = createSeededRandomSource(1);
	const tracker = createEjectionTracker({
		timers,
		random,
		metrics,
		events,
	});
	tracker.setPoolSize('walnut', 10, 0.3);
	const report = (backendServerId: string, jobId: string, ending: AttemptResult['ending']) => {
		tracker.addResult({
			backendServerId,
			pool: 'walnut',
			jobId,
			ending,
			durationMs: 2,
		});
	};

	const failThreeJobs = (backendServerId: string) => {
		for (const job of ['x', 'y', 'z']) {
			report(backendServerId, `${backendServerId}-${job}`, 'error');
		}
	};

	const getEjected = () => serverIds.filter(id => tracker.isEjected(id));
	for (const id of serverIds.slice(1)) {
		report(id, 'healthy', 'done');
	}

	return {
		timers,
		metrics,
		events,
		tracker,
		report,
		failThreeJobs,
		getEjected,
	};
}

describe('createEjectionTracker', () => {
	for (const ending of ['error', 'lost', 'connect-refused'] as const) {
		it(`ejects a backend server that fails three jobs by ${ending}`, () => {
			const {tracker, report, getEjected} = createFixture();
			report('b0', 'j1', ending);
			report('b0', 'j2', ending);
			assert.equal(tracker.mayStart('b0'), true);
			report('b0', 'j3', ending);
			assert.deepEqual(getEjected(), ['b0']);
			assert.equal(tracker.mayStart('b0'), false);
		});
	}

	it('ejects no backend server for a single job, however often it fails', () => {
		const {report, getEjected} = createFixture();
		for (let attempt = 0; attempt < 600; attempt++) {
			report(serverIds[attempt % 10]!, 'poison', 'error');
		}

		assert.deepEqual(getEjected(), []);
	});

	it('ejects no backend server for poison jobs that fail on every backend server', () => {
		const {report, getEjected} = createFixture();
		for (let attempt = 0; attempt < 600; attempt++) {
			report(serverIds[attempt % 10]!, `poison${Math.floor(attempt / 10) % 5}`, 'error');
		}

		assert.deepEqual(getEjected(), []);
	});

	it('ejects at most one backend server while the whole pool fails new jobs at the same ratio', () => {
		const {report, getEjected} = createFixture();
		for (let attempt = 0; attempt < 600; attempt++) {
			report(serverIds[attempt % 10]!, `single${attempt}`, 'error');
		}

		assert.ok(getEjected().length <= 1, getEjected().join(' '));
	});

	it('does not eject a backend server whose tasks mostly succeed', () => {
		const {report, getEjected} = createFixture();
		for (let attempt = 0; attempt < 300; attempt++) {
			report('b0', `j${attempt}`, attempt % 3 === 0 ? 'error' : 'done');
		}

		assert.deepEqual(getEjected(), []);
	});

	it('ejects at most the declared share of a pool, even after the pool shrinks', () => {
		const {tracker, failThreeJobs, getEjected} = createFixture();
		for (const id of ['b0', 'b1', 'b2', 'b3', 'b4']) {
			failThreeJobs(id);
		}

		assert.deepEqual(getEjected(), ['b0', 'b1', 'b2']);
		tracker.setPoolSize('walnut', 4, 0.3);
		assert.equal(getEjected().length, 1);
		tracker.removeBackendServer(getEjected()[0]!);
		assert.deepEqual(getEjected(), []);
	});

	it('allows a single trial after each probation, extends the next probation, and readmits on success', () => {
		const fixture = createFixture();
		const {timers, tracker, report, failThreeJobs} = fixture;
		failThreeJobs('b0');
		const probationsMs: number[] = [];
		for (const ending of ['error', 'error', 'done'] as const) {
			report('b0', 'late', 'done');
			const ejectedAtMs = timers.getNowMs();
			while (!tracker.mayStart('b0')) {
				timers.advance(100);
			}

			assert.equal(tracker.mayStart('b0'), false);
			probationsMs.push(timers.getNowMs() - ejectedAtMs);
			timers.advance(2);
			report('b0', `trial-${ending}-${timers.getNowMs()}`, ending);
		}

		for (const [index, minMs] of [5000, 10_000, 20_000].entries()) {
			assert.ok(probationsMs[index]! >= minMs && probationsMs[index]! <= (minMs * 1.2) + 100, probationsMs.join(' '));
		}

		assert.equal(tracker.isEjected('b0'), false);
		assert.equal(fixture.metrics.getCount('backend-server-trial'), 3);
		assert.deepEqual(fixture.events.events.map(event => event.name), ['backend-server-ejected', 'backend-server-readmitted']);
	});

	it('allows another trial when the first one has no result', () => {
		const {timers, tracker, failThreeJobs} = createFixture();
		failThreeJobs('b0');
		timers.advance(6000);
		assert.equal(tracker.mayStart('b0'), true);
		timers.advance(59_999);
		assert.equal(tracker.mayStart('b0'), false);
		timers.advance(1);
		assert.equal(tracker.mayStart('b0'), true);
	});
});
