import type {TimerService} from '@camphortack/core';
import type {PlacedJob} from '../jobs/placed-job.js';
import {findEvacuationEnd} from '../queue/find-evacuation-end.js';
import type {BackendServerDescription} from '../servers/backend-server-description.js';
import type {JobTable} from './job-table.js';
import type {ServerPool} from './server-pool.js';

/** Ends the jobs that cannot be placed because their backend servers are in evacuated availability zones. */
export type EvacuatedJobs = {
	setEvacuatedZones(availabilityZones: readonly string[]): void;
	isEvacuated(availabilityZone: string): boolean;
	/** Finds the wait to announce while every backend server is in an evacuated availability zone; undefined at other times. */
	findLoadMs(): number | undefined;
	/** Ends the jobs that have not started as refused, and those that cannot go on as unknown. */
	endJobs(): void;
};

export type EvacuatedJobsOptions = {
	timers: TimerService;
	jobTable: JobTable;
	pool: ServerPool;
	onRefused: (job: PlacedJob) => void;
	onUnknown: (job: PlacedJob) => void;
};

/** So long that no daemon forwards a job, also none of an earlier version, which knows of no evacuations. */
const evacuatedLoadMs = 60_000;

/**
 * Creates the component, without evacuated availability zones.
 * @param options - The jobs and the backend servers.
 */
export function createEvacuatedJobs({timers, jobTable, pool, onRefused, onUnknown}: EvacuatedJobsOptions): EvacuatedJobs {
	let zones: ReadonlySet<string> = new Set();
	let changedAtMs = timers.getNowMs();

	function getDescriptions(): BackendServerDescription[] {
		return [...pool.getServers()].map(({session}) => session.getDescription());
	}

	/** A service without any backend server is evacuated if all others are: theirs may have left already. */
	function isServiceEvacuated(service: string): boolean {
		const ofService = getDescriptions().filter(description => description.service === service);
		return (ofService.length > 0 ? ofService : getDescriptions()).every(({availabilityZone}) => zones.has(availabilityZone));
	}

	function endJob(job: PlacedJob): void {
		const end = findEvacuationEnd({
			hasStarted: job.hasStarted,
			hasWaitingTasks: job.tasks.some(task => task.state === 'waiting'),
			hasRunningTasks: job.tasks.some(task => task.state === 'running'),
			hasEarlierRuns: job.tasks.some(task => pool.findRun(task.name) !== undefined),
			evacuatedMs: timers.getNowMs() - changedAtMs,
		});
		if (end === 'refused') {
			onRefused(job);
		} else if (end === 'unknown') {
			onUnknown(job);
		}
	}

	return {
		setEvacuatedZones(availabilityZones) {
			zones = new Set(availabilityZones);
			changedAtMs = timers.getNowMs();
		},
		isEvacuated: availabilityZone => zones.has(availabilityZone),
		findLoadMs: () => (zones.size > 0 && getDescriptions().every(({availabilityZone}) => zones.has(availabilityZone)) ? evacuatedLoadMs : undefined),
		endJobs() {
			const evacuatedServices = new Map<string, boolean>();
			for (const job of zones.size === 0 ? [] : jobTable.getJobs()) {
				const {service} = job.request;
				const isEvacuated = evacuatedServices.get(service) ?? isServiceEvacuated(service);
				evacuatedServices.set(service, isEvacuated);
				if (isEvacuated && job.recoveryDeadlineMs === undefined && !job.isHeld) {
					endJob(job);
				}
			}
		},
	};
}
