import type {Job, RefusalCode} from '@camphortack/core';
import type {RunTimeEstimator} from '@camphortack/policy';
import {fitsInto, type PlacementRules} from '../configuration/placement-rules.js';
import type {BackendServerTable} from '../servers/backend-server-table.js';

/** The job and the daemon state that the admission checks depend on. */
export type AdmissionInput = {
	job: Job;
	rules: PlacementRules | undefined;
	isDraining: boolean;
	table: Pick<BackendServerTable, 'getAll'>;
	/** Whether the job and the jobs already queued would meet their deadlines; undefined if another daemon checked this. */
	meetsDeadlines?: (job: Job, pool: string, runTimeMs: number) => boolean;
	estimator: RunTimeEstimator;
	/** Whether there are other daemons that could run the job. */
	hasPartners: boolean;
};

/**
 * Checks whether a job cannot be served, so that it is refused at once instead of after waiting in a queue.
 * @param input - The job and the daemon state.
 * @returns The refusal code, or undefined if the job may be queued.
 */
export function checkAdmission(input: AdmissionInput): RefusalCode | undefined {
	const {job, rules, isDraining, table} = input;
	if (isDraining) {
		return 'draining';
	}

	if (rules === undefined) {
		return 'no-configuration';
	}

	if (!rules.hasCustomer(job.customer)) {
		return 'unknown-customer';
	}

	if (rules.findService(job.service) === undefined) {
		return 'unknown-service';
	}

	const pool = rules.getPoolName(job.service, job.customer);
	if (!input.hasPartners && !isServed(table, pool, job.service)) {
		return 'no-backend-server';
	}

	if (hasTaskThatNeverFits(input, rules, pool)) {
		return 'never-fits';
	}

	return isDeadlineUnreachable(input, rules, pool) ? 'deadline-unreachable' : undefined;
}

function isServed(table: AdmissionInput['table'], pool: string, service: string): boolean {
	for (const server of table.getAll()) {
		if (!server.isLeaving && server.pools.includes(pool) && server.announcement.services.includes(service)) {
			return true;
		}
	}

	return false;
}

function hasTaskThatNeverFits({job, table, hasPartners}: AdmissionInput, rules: PlacementRules, pool: string): boolean {
	const isDeclared = rules.findPool(pool)?.largestBackendServer !== undefined;
	const mayFitElsewhere = hasPartners && (isDeclared || !isServed(table, pool, job.service));
	for (const {needs} of job.tasks) {
		if (needs === undefined) {
			continue;
		}

		const hasLargeEnoughServer = mayFitElsewhere || [...table.getAll()].some(server =>
			server.pools.includes(pool) && fitsInto(needs, server.announcement));
		if (rules.neverFits(pool, needs) || !hasLargeEnoughServer) {
			return true;
		}
	}

	return false;
}

function isDeadlineUnreachable(input: AdmissionInput, rules: PlacementRules, pool: string): boolean {
	const {job, estimator} = input;
	if (input.meetsDeadlines === undefined) {
		return false;
	}

	const serviceRunTimeMs = rules.findService(job.service)!.declaredRunTimeMs;
	const declaredRunTimeMs = Math.max(...job.tasks.map(task => task.declaredRunTimeMs ?? serviceRunTimeMs));
	const expectedRunTimeMs = estimator.getExpectedRunTimeMs(job.service, declaredRunTimeMs);
	return expectedRunTimeMs > job.deadlineMs || !input.meetsDeadlines(job, pool, expectedRunTimeMs);
}
