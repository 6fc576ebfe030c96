import type {TimerService} from '@camphortack/core';
import {
	createPlacer, encodeOutcome, type BackendServerDescription, type CrashRecord, type CrashRegister, type Placer, type EarlierServers, type PlacementMessage, type PlacementMessageOf,
} from '@camphortack/placement';
import type {ClusterOptions} from '../cluster-options.js';
import {entryTimeoutMs, notBegunRepetitionMs} from '../cluster-timings.js';
import {createServerRecordSender, type ServerRecordSender} from '../records/server-record-sender.js';
import {createEntryLists} from './entry-lists.js';
import {createEntryReports, type ReportingEntry} from './entry-reports.js';

/** Runs the placer on this daemon during its terms. */
export type LocalPlacer = {
	isRunning(): boolean;
	/** Whether a placer has run on this daemon since its start. */
	hasPlaced(): boolean;
	/** Starts a placer for a term, after the one before was silent for a time, if that is known. */
	start(term: number, earlierSilenceMs?: number): void;
	/** Stops the placer, which ends its term, and tells the entry daemons which of their jobs it has not started. */
	stop(reason: string): void;
	/** Sets the backend servers to claim, and the number of others, which this placer must not claim. */
	setServers(descriptions: readonly BackendServerDescription[], unclaimableCount: number): void;
	/** Sets the availability zones in which nothing is started, in this term and later ones. */
	setEvacuatedZones(availabilityZones: readonly string[]): void;
	/** Gets the ids of the backend servers that respond, or on which tasks may still run. */
	getServerIdsInUse(): Set<string>;
	/** Ends the jobs of earlier processes of an entry daemon. */
	handleEntryStart(entryId: string, incarnation: string): void;
	handleMessage(fromId: string, message: PlacementMessage): void;
	/** Whether some backend server cannot be claimed again in this term. */
	hasExhaustedClaims(): boolean;
	/** Whether another placer has claimed most backend servers. */
	isSuperseded(): boolean;
	getPendingCount(queueName: string): number;
	/** Gets the expected wait of a new job; undefined if the placer does not run here. */
	findLoadMs(): number | undefined;
};

export type LocalPlacerOptions = Pick<ClusterOptions, 'daemonNumber' | 'backendServerClient' | 'timers' | 'random' | 'events' | 'metrics' | 'remoteRunFactor' | 'jobMemoryBytes'> & {
	earlierServers: EarlierServers;
	/** Gets the shard of this daemon. */
	getShard: () => string;
	/** Gets the entry daemons that may have submitted jobs to earlier placers whose tasks still run. */
	getEntries: () => readonly ReportingEntry[];
	crashRegister: CrashRegister;
	/** Called with each crash that the placer has noticed first. */
	onCrashRecord: (record: CrashRecord) => void;
	/** Called when a backend server has shown that it still is the incarnation in use, although another one was described. */
	onDescriptionRefuted: (known: BackendServerDescription, refuted: BackendServerDescription) => void;
	/** The start of this process. */
	ownIncarnation: string;
	/** Sends a message to a daemon, relayed if necessary. */
	send: (toId: string, message: PlacementMessage) => void;
};

/**
 * Creates the local placer, initially stopped.
 * @param options - The dependencies of the placer.
 */
export function createLocalPlacer(options: LocalPlacerOptions): LocalPlacer {
	const {timers, events, ownIncarnation, send} = options;
	const entryActivity = createEntryActivityTracker(timers);
	const entryReports = createEntryReports(options.getEntries);
	const entryLists = createEntryLists();
	let placer: Placer | undefined;
	let recordSender: ServerRecordSender | undefined;
	let evacuatedZones: readonly string[] = [];
	let placedTerm: number | undefined;
	let hasPlaced = false;
	timers.addInterval(entryTimeoutMs / 2, endJobsOfSilentEntries);

	function endJobsOfSilentEntries(): void {
		for (const entryId of entryActivity.takeSilentIds()) {
			entryLists.removeEntry(entryId);
			const jobCount = placer?.endJobsOfEntry(entryId) ?? 0;
			if (jobCount > 0) {
				events.write('entry-silent', {entry: entryId, silenceMs: entryTimeoutMs, jobs: jobCount});
			}
		}
	}

	function handle(fromId: string, message: PlacementMessage, active: Placer): void {
		entryActivity.recordActivity(fromId);
		switch (message.kind) {
			case 'placement.submit': {
				recordSender!.handleEntry({entryId: fromId, incarnation: message.incarnation});
				if (!entryLists.isOutdated(fromId, message)) {
					active.submit(fromId, message);
				}

				break;
			}

			case 'placement.cancel': {
				handleCancel(fromId, message, active);
				break;
			}

			case 'placement.open-jobs': {
				recordSender!.handleEntry({entryId: fromId, incarnation: message.incarnation});
				addReport(fromId, message, active);
				withdrawUnlisted(fromId, message, active);
				if (message.remainingMs !== undefined) {
					active.setEntryRemainingMs({entryId: fromId, incarnation: message.incarnation}, message.remainingMs);
				}

				answerOpenJobs(fromId, message.jobIds, active);
				break;
			}

			case 'placement.servers-recorded': {
				recordSender!.handleRecorded(fromId, message);
				break;
			}

			case 'placement.result':
			case 'placement.cancelled':
			case 'placement.not-begun':
			case 'placement.unknown-jobs':
			case 'placement.record-servers':
			case 'placement.record-request':
			case 'placement.record': {
				break;
			}
		}
	}

	function handleCancel(fromId: string, {jobId, submissionId, isForAll}: PlacementMessageOf<'placement.cancel'>, active: Placer): void {
		if (submissionId !== undefined) {
			active.withdraw(jobId, submissionId);
			return;
		}

		if (isForAll === true) {
			active.cancel(jobId);
		} else {
			active.abort(jobId);
		}

		send(fromId, {kind: 'placement.cancelled', jobId});
	}

	/** A report that names no term, or another one, does not tell that the jobs were handed over to this placer. */
	function addReport(fromId: string, {term, jobIds, otherJobIds = [], leftJobIds = []}: PlacementMessageOf<'placement.open-jobs'>, active: Placer): void {
		if (term === placedTerm) {
			entryReports.addReport(fromId, {openJobIds: [...jobIds, ...otherJobIds], leftJobIds});
			active.checkHeldJobs();
		}
	}

	/** Ends the jobs that an entry daemon no longer waits for, also if the message about their withdrawal was lost. */
	function withdrawUnlisted(fromId: string, message: PlacementMessageOf<'placement.open-jobs'>, active: Placer): void {
		const list = message.term === placedTerm ? entryLists.addList(fromId, message) : undefined;
		const jobCount = list === undefined ? 0 : active.withdrawUnlisted(list);
		if (jobCount > 0) {
			events.write('jobs-unlisted', {entry: fromId, jobs: jobCount});
		}
	}

	function answerOpenJobs(fromId: string, jobIds: readonly string[], active: Placer): void {
		const unknownIds: string[] = [];
		for (const jobId of jobIds) {
			const result = active.findResult(jobId);
			if (result === undefined) {
				unknownIds.push(jobId);
			} else if (result !== 'open') {
				send(fromId, {kind: 'placement.result', jobId, result: encodeOutcome(result)});
			}
		}

		if (unknownIds.length > 0) {
			send(fromId, {
				kind: 'placement.unknown-jobs', jobIds: unknownIds, term: placedTerm, incarnation: ownIncarnation,
			});
		}
	}

	/** Lets the entry daemons submit the jobs that were not started to the next placer as new. */
	function releaseJobs(jobIds: ReadonlyMap<string, string[]>): void {
		const term = placedTerm!;
		placedTerm = undefined;
		const sendAll = () => {
			for (const [entryId, ids] of jobIds) {
				send(entryId, {kind: 'placement.not-begun', term, jobIds: ids});
			}
		};

		sendAll();
		timers.addTimer(notBegunRepetitionMs, sendAll);
	}

	return {
		isRunning: () => placer !== undefined,
		hasPlaced: () => hasPlaced,
		start(term, earlierSilenceMs = 0) {
			placedTerm = term;
			hasPlaced = true;
			entryReports.startTerm(earlierSilenceMs);
			recordSender = createServerRecordSender({
				timers,
				events,
				placer: {shard: options.getShard(), term, incarnation: ownIncarnation},
				send,
				onRecorded() {
					placer?.checkHeldJobs();
				},
			});
			placer = createPlacer({
				...options,
				term,
				serverRecorder: recordSender,
				earlierJobs: entryReports,
				onResult(entryId, jobId, result) {
					send(entryId, {kind: 'placement.result', jobId, result: encodeOutcome(result)});
				},
			});
			placer.setEvacuatedZones(evacuatedZones);
		},
		stop(reason) {
			if (placer !== undefined) {
				events.write('placer-stopped', {reason});
				const unstartedJobIds = placer.getUnstartedJobIds();
				placer.stop();
				placer = undefined;
				releaseJobs(unstartedJobIds);
			}
		},
		setServers(descriptions, unclaimableCount) {
			placer?.setServers(descriptions, unclaimableCount);
		},
		setEvacuatedZones(availabilityZones) {
			evacuatedZones = availabilityZones;
			placer?.setEvacuatedZones(availabilityZones);
		},
		getServerIdsInUse() {
			const statuses = placer?.getServerStatuses() ?? [];
			return new Set(statuses.filter(status => status.state !== 'silent' || status.runCount > 0).map(status => status.id));
		},
		handleEntryStart(entryId, incarnation) {
			placer?.endJobsOfEntry(entryId, incarnation);
		},
		handleMessage(fromId, message) {
			if (message.kind === 'placement.submit' && message.term !== undefined && message.term !== placedTerm) {
				send(fromId, {kind: 'placement.not-begun', term: message.term, jobIds: [message.request.jobId]});
			} else if (placer !== undefined) {
				handle(fromId, message, placer);
			}
		},
		hasExhaustedClaims: () => placer?.hasExhaustedClaims() ?? false,
		isSuperseded: () => placer?.isSuperseded() ?? false,
		getPendingCount: queueName => placer?.getPendingCount(queueName) ?? 0,
		findLoadMs: () => placer?.getLoadMs(),
	};
}

/** Tracks when each entry daemon last sent a message to the placer. */
type EntryActivityTracker = {
	recordActivity(entryId: string): void;
	/** Removes and returns the ids of the entry daemons that have timed out. */
	takeSilentIds(): string[];
};

function createEntryActivityTracker(timers: TimerService): EntryActivityTracker {
	const lastActiveAtMs = new Map<string, number>();
	return {
		recordActivity(entryId) {
			lastActiveAtMs.set(entryId, timers.getNowMs());
		},
		takeSilentIds() {
			const oldestMs = timers.getNowMs() - entryTimeoutMs;
			const silentIds = [...lastActiveAtMs].filter(([, atMs]) => atMs < oldestMs).map(([id]) => id);
			for (const id of silentIds) {
				lastActiveAtMs.delete(id);
			}

			return silentIds;
		},
	};
}
