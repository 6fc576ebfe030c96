import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {RecordingEventLog, RecordingMetricSink} from '@camphortack/testkit';
import {createRequestLimits, SystemTimers} from '@camphortack/process';
import type {JobService} from '../../src/jobs/job-service.js';
import {createBackendServersServer} from '../../src/http/backend-servers-server.js';
import {createCallersServer} from '../../src/http/callers-server.js';
import {listen} from '../../src/http/create-http-server.js';
import {createJobBody, sendJson} from '../support/test-system.js';

const {requests: limits} = createRequestLimits({memoryMb: 100, maxFds: 1000}, {
	timers: new SystemTimers(), events: new RecordingEventLog(), metrics: new RecordingMetricSink(),
});

/** A job service whose submissions fail until `isRepaired` is set. */
class FailingJobs implements JobService {
	isRepaired = false;

	submitJob: JobService['submitJob'] = ({id}, onOutcome) => {
		if (!this.isRepaired) {
			throw new RangeError('odd value');
		}

		onOutcome({outcome: 'complete', id: id ?? '', results: []});
	};

	startForwardedJob: JobService['startForwardedJob'] = () => undefined;
	waitForOutcome: JobService['waitForOutcome'] = async () => 'running';
	cancelJob: JobService['cancelJob'] = () => false;
	findCustomer: JobService['findCustomer'] = () => undefined;
	createTickets: JobService['createTickets'] = () => [];
	countRefusal: JobService['countRefusal'] = refusal => refusal;
	startDraining: JobService['startDraining'] = () => undefined;
	getOpenCount: JobService['getOpenCount'] = () => 0;
}

describe('an error that no rule of an interface explains', () => {
	// Guards against requests that end without an answer and without a line in the log.
	it('is logged and answered, and costs one submission only', async () => {
		const events = new RecordingEventLog();
		const jobs = new FailingJobs();
		const server = await listen(createCallersServer({
			events, jobs, limits, isReady: () => true, isAuthorized: () => true,
		}), '127.0.0.1', 0);
		const failed = await sendJson('POST', `${server.url}/v1/jobs`, createJobBody(1));
		jobs.isRepaired = true;
		const next = await sendJson('POST', `${server.url}/v1/jobs`, createJobBody(1));
		await server.close();
		assert.deepEqual([failed.status, failed.body.code, next.status], [500, 'internal-error', 200]);
		assert.deepEqual(events.events.map(({name, fields}) => `${name} ${fields.path}`), ['request-failed /v1/jobs']);
		assert.match(String(events.events[0]?.fields.message), /^RangeError: odd value\n/v);
	});

	it('is logged and answered if an announcement causes it', async () => {
		const events = new RecordingEventLog();
		const server = await listen(createBackendServersServer({
			events,
			limits,
			isAuthorized: () => true,
			onAnnouncement() {
				throw new RangeError('odd value');
			},
			onFarewell: () => undefined,
		}), '127.0.0.1', 0);
		const {status} = await sendJson('POST', `${server.url}/v1/backend-servers`, {
			id: 'odd', incarnation: 'one', host: '127.0.0.1', port: 1, availabilityZone: 'zone-1', slots: 4, services: ['quote'],
		});
		await server.close();
		assert.equal(status, 500);
		assert.deepEqual(events.events.map(({name}) => name), ['request-failed']);
	});

	it('is none if the client closes the connection before the end of its body', async () => {
		const events = new RecordingEventLog();
		const server = await listen(createCallersServer({
			events, limits, jobs: new FailingJobs(), isReady: () => true, isAuthorized: () => true,
		}), '127.0.0.1', 0);
		await new Promise<void>(resolve => {
			const socket = connect(server.port, '127.0.0.1', () => {
				socket.end('POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{');
			});
			socket.on('close', () => {
				resolve();
			});
			socket.resume();
		});
		await server.close();
		assert.deepEqual(events.events, []);
	});
});
