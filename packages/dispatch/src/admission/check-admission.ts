import type {Job, RefusalCode} from '@camphortack/core';
import type {RunTimeEstimator} from '@camphortack/policy';
import {fitsInto, type PlacementRules} from '../configuration/placement-rules.js';
import type {BackendServerTable} from '../servers/backend-server-table.js';

/** What admission looks at. */
export type AdmissionInput = {
	job: Job;
	rules: PlacementRules | undefined;
	isDraining: boolean;
	table: BackendServerTable;
	/** Whether the job and those that wait already would meet their deadlines; undefined if it was asked elsewhere. */
	meetsDeadlines?: (job: Job, pool: string, runTimeMs: number) => boolean;
	estimator: RunTimeEstimator;
	/** Whether other daemons could run the job. */
	hasPartners: boolean;
};

/**
 * Finds out at once whether a job cannot be served: it would only wait for its refusal.
 * @param input - The job and the state of this daemon.
 * @returns The refusal code, or undefined if the job may wait for slots.
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

function isServed(table: BackendServerTable, pool: string, service: string): boolean {
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

		const isSomewhereLargeEnough = mayFitElsewhere || [...table.getAll()].some(server =>
			server.pools.includes(pool) && fitsInto(needs, server.announcement));
		if (rules.neverFits(pool, needs) || !isSomewhereLargeEnough) {
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
