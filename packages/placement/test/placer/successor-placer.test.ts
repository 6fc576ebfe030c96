import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {JobHandover, JobRequest, Placer} from '../../src/index.js';
import {createTestPlacer, defaultRequest, unknownPlacerId} from '../support/create-test-placer.js';
import {runFor} from '../support/run-for.js';
import {SlowClient} from '../support/slow-client.js';

function getHandover(...placerIds: string[]): JobHandover {
	return {placers: placerIds.map(placerId => ({placerId, incarnation: 'one'})), registryDigest: ''};
}

/** Submits a job to a placer after it was submitted to others. */
function resubmit(placer: Placer, request: Partial<JobRequest> & {jobId: string}, handover: JobHandover | undefined, submissionId = 'one'): void {
	placer.submit('entry', {
		kind: 'placement.submit', request: {...defaultRequest, ...request}, generation: 1, submissionId, mayHaveStarted: true, handover,
	});
}

describe('a successor placer', () => {
	it('adopts the runs of its predecessor, which can start nothing afterwards', async () => {
		const {timers, fleet, submit, placer, results, createSuccessor} = createTestPlacer({getDurationMs: () => 400});
		await runFor(timers, 10);
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, estimateMs: 400}]});
		await runFor(timers, 100);
		const successor = createSuccessor(2, 'second');
		successor.setServers(fleet.getDescriptions(), 0);
		resubmit(successor, {jobId: 'job', ageMs: 100}, getHandover('first'));
		await runFor(timers, 20);
		submit({jobId: 'late'});
		await runFor(timers, 600);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
		assert.deepEqual(fleet.records.map(({runNumber, outcome}) => [runNumber, outcome]), [[1, 'done'], [1, 'done']]);
		assert.ok(placer.isSuperseded());
	});

	// Guards against two runs at once: the caller has come again through another entry daemon, whose submission says nothing of the first.
	it('starts no second run of a job that reaches it as new before its handover', async () => {
		const {timers, fleet, submit, placer, createSuccessor} = createTestPlacer({getDurationMs: () => 700});
		await runFor(timers, 10);
		submit({jobId: 'job'});
		await runFor(timers, 100);
		const usedIds = new Set(fleet.records.map(({serverId}) => serverId));
		placer.stop();
		const successor = createSuccessor(2, 'second');
		successor.setServers(fleet.getDescriptions().filter(({id}) => !usedIds.has(id)), usedIds.size);
		await runFor(timers, 20);
		successor.submit('other', {
			kind: 'placement.submit', request: {...defaultRequest, jobId: 'job'}, generation: 0, submissionId: 'two', mayHaveStarted: false,
		});
		await runFor(timers, 20);
		resubmit(successor, {jobId: 'job', ageMs: 150}, getHandover('first'));
		await runFor(timers, 100);
		assert.deepEqual(fleet.findOverlaps(), []);
	});

	it('logs what its predecessor left open, and how much it knows when it looks for the runs', async () => {
		const {timers, fleet, submit, placer, events, createSuccessor} = createTestPlacer({getDurationMs: () => 900});
		await runFor(timers, 10);
		submit({jobId: 'started'});
		await runFor(timers, 20);
		submit({jobId: 'too-wide', steps: [{...defaultRequest.steps[0]!, cpuMillicores: 99_000}]});
		placer.stop();
		const successor = createSuccessor(2, 'second');
		successor.setServers(fleet.getDescriptions().slice(0, 3), 1);
		resubmit(successor, {jobId: 'other', ageMs: 100}, getHandover('first'));
		await runFor(timers, 600);
		const servers = fleet.records.map(({serverId}) => serverId).join(' ');
		const getFields = (name: string) => events.events.filter(event => event.name === name).map(({fields}) => fields);
		assert.deepEqual(getFields('job-left-open'), [{
			job: 'started', entry: 'entry', ageMs: 20, servers,
		}]);
		assert.deepEqual(getFields('job-recovered'), [{
			job: 'other', tasks: 2, missing: 2, known: false, servers: 3, heldServers: 3, unclaimableServers: 1, isCovered: true, recordedServers: 4, earlierPlacers: 'first',
		}]);
	});

	it('does not restart a job while a backend server that may run it must not be claimed', async () => {
		const {timers, fleet, results, createSuccessor} = createTestPlacer({getDurationMs: () => 900});
		const successor = createSuccessor(2, 'second');
		successor.setServers(fleet.getDescriptions().slice(0, 3), 1);
		resubmit(successor, {jobId: 'job', ageMs: 100}, getHandover('first'));
		await runFor(timers, 600);
		assert.deepEqual(results.get('job'), {outcome: 'unknown'});
		assert.equal(fleet.records.length, 0);
	});

	const earlierPlacers = [
		{title: 'is not covered', placerIds: ['first', unknownPlacerId]},
		{title: 'is not named', placerIds: undefined},
	];
	for (const {title, placerIds} of earlierPlacers) {
		it(`does not restart a job if an earlier placer ${title}, since tasks may run on backend servers that it does not know`, async () => {
			const {timers, fleet, results, createSuccessor} = createTestPlacer({getDurationMs: () => 900});
			const successor = createSuccessor(2, 'second');
			successor.setServers(fleet.getDescriptions(), 0);
			resubmit(successor, {jobId: 'job', ageMs: 100}, placerIds === undefined ? undefined : getHandover(...placerIds));
			await runFor(timers, 300);
			assert.equal(results.get('job'), undefined, 'it waits for the record of the entry daemon');
			await runFor(timers, 300);
			assert.deepEqual(results.get('job'), {outcome: 'unknown'});
			assert.equal(fleet.records.length, 0);
		});
	}

	// Guards against a placer that has the old description of a backend server and takes its new incarnation for an idle one.
	it('does not restart a job that may run on a newer incarnation of a backend server', async () => {
		const {timers, fleet, placer, submit, createSuccessor} = createTestPlacer({serverCount: 2, getDurationMs: () => 900});
		const descriptions = fleet.getDescriptions();
		for (const server of fleet.servers) {
			server.description = {...server.description, bornMs: 2};
		}

		placer.setServers(fleet.getDescriptions(), 0);
		await runFor(timers, 10);
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, taskCount: 1, estimateMs: 900}]});
		await runFor(timers, 100);
		const {serverId} = fleet.records[0]!;
		const successor = createSuccessor(2, 'second');
		successor.setServers(fleet.getDescriptions().map(description => description.id === serverId ? descriptions.find(({id}) => id === serverId)! : description), 0);
		resubmit(successor, {jobId: 'job', steps: [{...defaultRequest.steps[0]!, taskCount: 1, estimateMs: 900}], ageMs: 100}, getHandover('first'), 'two');
		await runFor(timers, 1500);
		assert.deepEqual(fleet.findOverlaps(), []);
	});

	const finished: Array<{title: string; claimedAtMs: number; submittedAtMs: number}> = [
		{title: 'before it claimed the backend servers', claimedAtMs: 200, submittedAtMs: 210},
		{title: 'between its claims and the submission', claimedAtMs: 60, submittedAtMs: 210},
	];
	for (const {title, claimedAtMs, submittedAtMs} of finished) {
		// Guards against work that is run again because the placer that had started it did not see its end.
		it(`counts tasks as done that ended ${title}, although a backend server is unreachable`, async () => {
			const {timers, fleet, submit, placer, results, createSuccessor} = createTestPlacer({getDurationMs: () => 100});
			await runFor(timers, 10);
			submit({jobId: 'job'});
			await runFor(timers, 40);
			placer.stop();
			const usedIds = new Set(fleet.records.map(({serverId}) => serverId));
			fleet.servers.find(({description}) => !usedIds.has(description.id))!.fault = {isUnreachableFrom: () => true};
			await runFor(timers, claimedAtMs - timers.getNowMs());
			const successor = createSuccessor(2, 'second');
			successor.setServers(fleet.getDescriptions(), 0);
			await runFor(timers, submittedAtMs - timers.getNowMs());
			resubmit(successor, {jobId: 'job', ageMs: 200}, getHandover('first'));
			await runFor(timers, 20);
			assert.deepEqual(results.get('job'), {outcome: 'completed'});
			assert.equal(fleet.records.length, 2);
		});
	}

	// Guards against a caller's second submission whose tasks are run again after the runs of the first one.
	it('adopts the runs of a job that its caller submits again through another daemon', async () => {
		const {timers, fleet, submit, placer, results, createSuccessor} = createTestPlacer({getDurationMs: () => 400});
		await runFor(timers, 10);
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, estimateMs: 400}]});
		await runFor(timers, 100);
		placer.stop();
		const successor = createSuccessor(2, 'second');
		successor.setServers(fleet.getDescriptions(), 0);
		await runFor(timers, 50);
		successor.submit('other-entry', {
			kind: 'placement.submit', request: {...defaultRequest, jobId: 'job', steps: [{...defaultRequest.steps[0]!, estimateMs: 400}]}, generation: 0, submissionId: 'two', mayHaveStarted: false,
		});
		await runFor(timers, 600);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
		assert.deepEqual(fleet.records.map(({runNumber, outcome}) => [runNumber, outcome]), [[1, 'done'], [1, 'done']]);
	});

	// Guards against two runs at once: both placers see the end of a stopped run, and each starts the task again.
	it('does not start a task again whose run it has adopted while its predecessor can use a recorded backend server', async () => {
		const {timers, fleet, submit, createSuccessor, results} = createTestPlacer({getDurationMs: () => 900});
		await runFor(timers, 10);
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, taskCount: 1, estimateMs: 900}]});
		await runFor(timers, 50);
		const {serverId, taskName} = fleet.records[0]!;
		const successor = createSuccessor(2, 'second');
		successor.setServers(fleet.getDescriptions().filter(({id}) => id === serverId), 3);
		resubmit(successor, {jobId: 'job', steps: [{...defaultRequest.steps[0]!, taskCount: 1, estimateMs: 900}], ageMs: 50}, getHandover('first'));
		await runFor(timers, 20);
		assert.deepEqual(successor.getServerStatuses().map(({state, runCount}) => ({state, runCount})), [{state: 'held', runCount: 1}]);
		const {description, highestToken} = fleet.servers.find(server => server.description.id === serverId)!;
		void fleet.getClient('second').stop({...description, serverId}, {taskName, runNumber: 1, token: highestToken}, 100);
		await runFor(timers, 300);
		assert.deepEqual(fleet.records.map(({daemonId, runNumber}) => [daemonId, runNumber]), [['first', 1], ['first', 2]]);
		successor.setServers(fleet.getDescriptions(), 0);
		await runFor(timers, 1100);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
		assert.deepEqual(fleet.records.map(({outcome}) => outcome), ['stopped', 'done']);
	});

	// Guards against runs that are stopped because their job waits for a record although all of its runs are found.
	it('completes a job whose runs are all found, even if an earlier placer is not covered', async () => {
		const {timers, fleet, submit, results, createSuccessor, requestedSources} = createTestPlacer({getDurationMs: () => 900});
		await runFor(timers, 10);
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, estimateMs: 900}]});
		await runFor(timers, 100);
		const successor = createSuccessor(2, 'second');
		successor.setServers(fleet.getDescriptions(), 0);
		resubmit(successor, {jobId: 'job', ageMs: 100}, getHandover(unknownPlacerId));
		await runFor(timers, 1000);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
		assert.deepEqual(fleet.records.map(({runNumber, outcome}) => [runNumber, outcome]), [[1, 'done'], [1, 'done']]);
		assert.deepEqual(requestedSources[0], {...getHandover(unknownPlacerId), entryId: 'entry'});
	});

	// Guards against two placers of one term of which the replaced one fences the other, which then does not know what runs.
	it('stays in control of a backend server that its predecessor of the same term claims again', async () => {
		const {timers, fleet, submit, createSuccessor} = createTestPlacer({serverCount: 2, getDurationMs: () => 600});
		const [first] = fleet.servers;
		await runFor(timers, 10);
		const successor = createSuccessor(1, 'second', 2);
		first!.fault = {isRequestDelayed: () => true};
		submit({jobId: 'unanswered', steps: [{...defaultRequest.steps[0]!, taskCount: 1}]});
		await runFor(timers, 5);
		first!.fault = {};
		successor.setServers(fleet.getDescriptions(), 0);
		// The predecessor claims the first backend server again because its request went unanswered, and starts a job there.
		await runFor(timers, 160);
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, taskCount: 1}]});
		await runFor(timers, 20);
		successor.submit('entry', {
			kind: 'placement.submit',
			request: {
				...defaultRequest, jobId: 'job', steps: [{...defaultRequest.steps[0]!, taskCount: 1}], ageMs: 20,
			},
			generation: 1,
			submissionId: 'two',
			mayHaveStarted: true, handover: getHandover('first'),
		});
		await runFor(timers, 1000);
		assert.deepEqual(fleet.findOverlaps(), []);
	});

	// Guards against jobs that end as unknown because a placer on a small VM needs longer for its claims than an unresponsive server.
	it('goes on looking for the runs of a job while its first claims are under way', async () => {
		const {timers, fleet, placer, results, createSuccessor} = createTestPlacer({serverCount: 80});
		await runFor(timers, 100);
		placer.stop();
		const successor = createSuccessor(2, 'second', 2, {wrapClient: client => new SlowClient(client, timers, {firstMs: 8, laterMs: 0.5})});
		successor.setServers(fleet.getDescriptions(), 0);
		resubmit(successor, {jobId: 'job', ageMs: 300}, getHandover('first'));
		await runFor(timers, 500);
		assert.equal(results.get('job'), undefined);
		await runFor(timers, 600);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
		assert.deepEqual(fleet.records.map(({runNumber}) => runNumber), [33, 33]);
	});

	it('ends the search while claims are under way when the job could no longer be run in time', async () => {
		const {timers, fleet, placer, endedAtMs, results, createSuccessor} = createTestPlacer({serverCount: 80});
		await runFor(timers, 100);
		placer.stop();
		const successor = createSuccessor(2, 'second', 2, {wrapClient: client => new SlowClient(client, timers, {firstMs: 20, laterMs: 0.5})});
		successor.setServers(fleet.getDescriptions(), 0);
		resubmit(successor, {jobId: 'job', ageMs: 300}, getHandover('first'));
		await runFor(timers, 1500);
		assert.deepEqual(results.get('job'), {outcome: 'unknown'});
		const searchedMs = endedAtMs.get('job')! - 100;
		assert.ok(searchedMs >= 1100 && searchedMs <= 1160, `${searchedMs} ms`);
	});

	// Guards against a search, and a 504 at its end, for a job of which its entry daemon knows that nobody has started it.
	it('starts a job at once when its entry daemon has learned that no placer started it', async () => {
		const {timers, fleet, results, createSuccessor} = createTestPlacer({getDurationMs: () => 50});
		const successor = createSuccessor(2, 'second');
		successor.setServers(fleet.getDescriptions().slice(0, 3), 1);
		resubmit(successor, {jobId: 'job'}, getHandover('first'));
		await runFor(timers, 100);
		assert.equal(fleet.records.length, 0);
		successor.submit('entry', {
			kind: 'placement.submit', request: {...defaultRequest, jobId: 'job'}, generation: 1, submissionId: 'one', mayHaveStarted: false,
		});
		await runFor(timers, 60);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
	});

	it('refuses jobs of a silent entry daemon that it has not started, and ends the others as unknown', async () => {
		const {timers, submit, placer, results} = createTestPlacer({serverCount: 1, getDurationMs: () => 400});
		await runFor(timers, 10);
		submit({jobId: 'started', slackMs: 900});
		await runFor(timers, 10);
		submit({jobId: 'waiting', slackMs: 900});
		await runFor(timers, 10);
		assert.equal(placer.endJobsOfEntry('entry'), 2);
		assert.deepEqual(['started', 'waiting'].map(jobId => results.get(jobId)?.outcome), ['unknown', 'refused']);
	});

	it('stops runs whose jobs are not submitted again', async () => {
		const {timers, fleet, submit, createSuccessor} = createTestPlacer({getDurationMs: () => 5000});
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, estimateMs: 900}]});
		await runFor(timers, 50);
		createSuccessor(2, 'second').setServers(fleet.getDescriptions(), 0);
		await runFor(timers, 400);
		assert.deepEqual(fleet.records.map(({outcome}) => outcome), ['stopped', 'stopped']);
	});
});

describe('an unreachable backend server', () => {
	it('has its tasks restarted elsewhere only when every lease has expired, including one of another placer', async () => {
		const {timers, fleet, submit, events, results} = createTestPlacer({serverCount: 2, getDurationMs: () => 900});
		const isRepeated = () => events.events.some(({name, fields}) => name === 'task-repeated' && fields.reason === 'lost');
		await runFor(timers, 400);
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, taskCount: 1, estimateMs: 900}], callerTimeoutMs: 6000});
		await runFor(timers, 100);
		// The lease of the last renewal ends at 1302 ms. Another placer may grant one until then and needs some time to stop runs.
		fleet.servers.find(({description}) => description.id === fleet.records[0]!.serverId)!.fault = {isUnreachableFrom: () => true};
		await runFor(timers, 1200);
		assert.equal(isRepeated(), false);
		await runFor(timers, 3000);
		assert.equal(isRepeated(), true);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
		assert.deepEqual(fleet.findOverlaps(), []);
	});

	// Guards against a placer that counts a run as over which has a lease of its predecessor, since it has granted none itself.
	it('does not start a task again whose backend server stops responding just after the claim, while the lease of its predecessor lasts', async () => {
		const {timers, fleet, submit, placer, results, createSuccessor} = createTestPlacer({getDurationMs: () => 2000});
		const request = {
			jobId: 'job', callerTimeoutMs: 9000, slackMs: 9000, steps: [{...defaultRequest.steps[0]!, taskCount: 1, estimateMs: 2000}],
		};
		await runFor(timers, 10);
		submit(request);
		submit({...request, jobId: 'unknown'});
		await runFor(timers, 100);
		const {serverId} = fleet.records[0]!;
		assert.equal(fleet.records[1]!.serverId, serverId, 'a run that the successor does not know keeps it from a lease');
		const successor = createSuccessor(2, 'second');
		successor.setServers(fleet.getDescriptions(), 0);
		await runFor(timers, 1.5);
		fleet.servers.find(({description}) => description.id === serverId)!.fault = {isUnreachableFrom: () => true};
		placer.stop();
		resubmit(successor, {...request, ageMs: 100}, getHandover('first'));
		await runFor(timers, 6000, 1);
		assert.deepEqual(fleet.findOverlaps(), []);
		assert.deepEqual(fleet.records.map(({outcome}) => outcome), ['lapsed', 'lapsed', 'done']);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
	});
});
