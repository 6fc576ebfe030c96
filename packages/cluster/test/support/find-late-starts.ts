import {getFencingToken} from '../../../placement/src/sessions/fencing-token.js';
import type {RunRecord} from '../../../placement/test/support/fake-server.js';
import type {TestCluster} from './create-test-cluster.js';

/** A start of a task by an earlier placer after its successor had concluded that tasks of the job do not run. */
export type LateStart = {
	run: RunRecord;
	successorId: string;
	concludedAtMs: number;
};

/** The conclusion of a placer that all runs of a job are known and that some of its tasks do not run. */
type Conclusion = {
	jobId: string;
	successorId: string;
	concludedAtMs: number;
	/** The lowest fencing token of the successor in the term in which it concluded. */
	token: number;
	/** The lowest fencing tokens of the earlier placers in their next terms, by daemon. */
	nextTokens: Map<string, number>;
};

/** A deployment with as many backend servers has a placer in each availability zone. */
const minDividedServers = 100;

function isDivided({fleet}: TestCluster): boolean {
	return fleet.servers.length >= minDividedServers;
}

/**
 * Gets the shard in which a daemon places: its availability zone, or an empty name if the deployment has one placer.
 * @param test - The deployment.
 * @param daemonId - The daemon.
 */
export function getShard(test: TestCluster, daemonId: string): string {
	return isDivided(test) ? test.daemons.find(({id}) => id === daemonId)!.availabilityZone : '';
}

/**
 * Finds the starts of tasks by placers whose successor had already concluded that tasks of the job do not run.
 * @param test - The deployment.
 */
export function findLateStarts(test: TestCluster): LateStart[] {
	return getConclusions(test).flatMap(conclusion => test.fleet.records
		.filter(run => isLate(test, run, conclusion))
		.map(run => ({run, successorId: conclusion.successorId, concludedAtMs: conclusion.concludedAtMs})));
}

function getConclusions(test: TestCluster): Conclusion[] {
	return test.events
		.filter(({name, fields}) => name === 'job-recovered' && fields.known === true && Number(fields.missing) > 0)
		.map(({daemonId, atMs, fields}) => ({
			jobId: String(fields.job),
			successorId: daemonId,
			concludedAtMs: atMs,
			token: getLowestToken(test, daemonId, findTerm(test, daemonId, atMs)),
			nextTokens: getNextTokens(test, String(fields.earlierPlacers ?? ''), atMs),
		}));
}

function getNextTokens(test: TestCluster, earlierPlacers: string, atMs: number): Map<string, number> {
	const placerIds = earlierPlacers.split(' ').filter(id => id !== '');
	return new Map(placerIds.map(id => [id, getLowestToken(test, id, findTerm(test, id, atMs) + 1)]));
}

/** A placer of another shard has terms of its own: a start of it is late if the job was handed over from it, and it has begun no term since. */
function isLate(test: TestCluster, run: RunRecord, conclusion: Conclusion): boolean {
	const {jobId, successorId, concludedAtMs, token, nextTokens} = conclusion;
	if (!run.taskName.startsWith(`${jobId}.`) || run.startedAtMs <= concludedAtMs) {
		return false;
	}

	const isSameShard = getShard(test, run.daemonId) === getShard(test, successorId);
	return run.token < (isSameShard ? token : nextTokens.get(run.daemonId) ?? 0);
}

/** Gets the last term that a daemon began as the placer until some time; 0 if there is none. */
function findTerm(test: TestCluster, daemonId: string, atMs: number): number {
	const isElection = (event: TestCluster['events'][number]) => event.name === 'placer-elected' && event.daemonId === daemonId && event.atMs <= atMs;
	const election = test.events.findLast(event => isElection(event));
	return Number(election?.fields.term ?? 0);
}

function getLowestToken(test: TestCluster, daemonId: string, term: number): number {
	return getFencingToken({term, daemonNumber: test.getDaemonNumber(daemonId), claim: 0});
}
