import process from 'node:process';
import {readSettings} from '@camphortack/configuration';
import {jobOutcomeSchema, type JobOutcome} from '@camphortack/core';
import {startDaemon} from '@camphortack/daemon';
import {createStandInBackendServer} from '@camphortack/testkit';
import {demoObjects} from './demo-objects.js';

const taskCount = 20;
const backendServerNames = ['bench-1', 'bench-2'];
const jobDeadlineMs = 10_000;

const print = (line: string) => {
	process.stdout.write(`${line}\n`);
};

async function sendJson(url: string, body: unknown): Promise<unknown> {
	const response = await fetch(url, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify(body),
	});
	return response.json();
}

async function submitJob(callersUrl: string, id: string): Promise<JobOutcome> {
	const tasks = Array.from({length: taskCount}, (_, index) => ({payload: {piece: `drawer ${index + 1}`, coats: 3}}));
	const job = {
		id, customer: 'workshop-chain', service: 'polish-quote', deadlineMs: jobDeadlineMs, tasks,
	};
	return jobOutcomeSchema.parse(await sendJson(`${callersUrl}/v1/jobs`, job));
}

async function runDemo(): Promise<boolean> {
	print('Starting one daemon with the embedded default ...');
	const daemon = await startDaemon(readSettings('(none)', ''));
	const {callersUrl, backendServersUrl, operatorsUrl} = daemon.addresses;
	print(`  callers: ${callersUrl}  operators: ${operatorsUrl}`);

	print('Publishing one pool, one service, one customer and one limit ...');
	await sendJson(`${operatorsUrl}/v1/configuration`, {
		baseVersion: 0, publishId: 'demo', author: 'demo', objects: demoObjects,
	});

	print(`Starting ${backendServerNames.length} stand-in backend servers with 8 slots each ...`);
	const servers = await Promise.all(backendServerNames.map(async id => createStandInBackendServer({
		id, services: ['polish-quote'], runTimeMs: 50, announceUrl: backendServersUrl, availabilityZone: 'zone-1',
	})));
	for (const server of servers) {
		// eslint-disable-next-line no-await-in-loop -- The servers announce themselves sequentially.
		await server.announce();
	}

	print(`Submitting a job of ${taskCount} tasks, then the same job again ...`);
	const startedAtMs = performance.now();
	const first = await submitJob(callersUrl, 'demo-job');
	const responseTimeMs = Math.round(performance.now() - startedAtMs);
	const second = await submitJob(callersUrl, 'demo-job');
	const counts = servers.flatMap(server => [...server.starts.values()]);
	const starts = counts.reduce((sum, count) => sum + count, 0);
	const hasSameAnswer = JSON.stringify(first) === JSON.stringify(second);
	for (const server of servers) {
		print(`  ${server.announcement.id}: ${server.starts.size} tasks, at most ${server.getPeakRunningCount()} at once`);
	}

	if (first.outcome === 'refused') {
		print(`  refused: ${first.code}: ${first.message}`);
	}

	print(`  first answer: ${first.outcome} after ${responseTimeMs} ms; resubmission: ${hasSameAnswer ? 'the same answer' : 'another answer'}`);
	print(`  starts seen by the backend servers: ${starts} for ${taskCount} tasks`);

	print('Stopping everything ...');
	await daemon.stop();
	await Promise.all(servers.map(async server => server.close()));
	const isSuccessful = first.outcome === 'complete' && hasSameAnswer && starts === taskCount;
	print(JSON.stringify({
		outcome: first.outcome, tasks: taskCount, starts, resubmission: hasSameAnswer ? 'same-answer' : 'other-answer', responseTimeMs,
	}));
	return isSuccessful;
}

process.exitCode = await runDemo() ? 0 : 1;
