import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {
	createSeededRandomSource, PeerNetwork, type Job, type PeerMessage, type TimerService,
} from '@camphortack/core';
import {SystemTimers} from '@camphortack/process';
import {
	createAssignment, createJobRegister, createRegisterClient, createTicketTable, getContentHash, type RegisterClient,
} from '@camphortack/register';
import {
	createMemoryDisk, createMemoryRecordLog, decodeRecords, encodeRecord, type RecordLog,
} from '@camphortack/storage';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import type {Slope} from './slope.js';
import {sleep, withDiskLog} from './storage-slope.js';

const recordSizes = [10_000, 50_000, 100_000];
const concurrencyLevels = [1, 10, 100];
const warmUpMs = 300;
const measuredMs = 1500;

/** Measures the memory that the register holds on a keeper for each claimed job. */
export async function measureRegisterSlope(): Promise<Slope> {
	const points = recordSizes.map(size => ({size, value: measureBytesPerRecord(size)}));
	return {name: 'memory of the job register, by records', points, unit: 'bytes/record'};
}

/** Measures the longest event loop turn that writing a snapshot in parts takes. */
export async function measureRegisterSnapshotSlope(): Promise<Slope> {
	const points = recordSizes.map(size => ({size, value: measureSnapshotMs(size)}));
	return {name: 'longest turn of a snapshot of the job register, by records', points, unit: 'ms'};
}

/** Measures the time from the claim of a caller-chosen id to the decision to start, with the keeper in the same process. */
export async function measureClaimDelaySlope(): Promise<Slope> {
	return measureClaims('added time of a chosen id, by jobs at once', 'ms', ({meanDelayMs}) => meanDelayMs);
}

/** Measures how many jobs with caller-chosen ids share one disk sync. */
export async function measureJobsPerSyncSlope(): Promise<Slope> {
	return measureClaims('jobs with chosen ids a sync, by jobs at once', 'jobs/sync', ({jobsPerSync}) => jobsPerSync);
}

/** Measures how many caller-chosen ids are claimed per second. */
export async function measureClaimRateSlope(): Promise<Slope> {
	return measureClaims('claims of chosen ids a second, by jobs at once', 'claims/s', ({claimsPerSecond}) => claimsPerSecond);
}

/** Measures the time to claim a ticket at its issuer, which writes no record. */
export async function measureTicketDelaySlope(): Promise<Slope> {
	const points = recordSizes.map(size => ({size, value: measureTicketDelayMs(size)}));
	return {name: 'added time of a ticket at its issuer, by tickets', points, unit: 'ms'};
}

function createJob(id: string): Job {
	return {
		id,
		customer: 'studio',
		service: 'quote',
		deadlineMs: 30_000,
		idempotent: false,
		tasks: [{payload: {wood: 'walnut', coats: 3}}],
	};
}

/** Delivers each message in a later event loop turn, encoded and decoded as between processes. */
class LoopbackNetwork extends PeerNetwork {
	onMessage: (message: PeerMessage) => void = () => undefined;

	override send(_peerId: string, message: PeerMessage): void {
		const bytes = encodeRecord(message);
		setImmediate(() => {
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The bytes were encoded from a PeerMessage above.
			this.onMessage(decodeRecords(bytes)[0] as PeerMessage);
		});
	}
}

/** Discards every message. */
class DiscardingNetwork extends PeerNetwork {
	override send(): void {
		// The answers of the register are not measured.
	}
}

function createComponents(timers: TimerService, log: RecordLog, peers: PeerNetwork) {
	const random = createSeededRandomSource(1);
	const metrics = new RecordingMetricSink();
	const owner = {availabilityZone: 'zone', daemonId: 'entry-1', incarnation: 'i1'};
	const tickets = createTicketTable({issuer: owner, timers, random});
	const register = createJobRegister({
		ownId: 'entry-1',
		log,
		timers,
		random,
		metrics,
		events: new RecordingEventLog(),
		peers,
		isFirstStart: true,
	});
	const client = createRegisterClient({
		ownId: 'entry-1',
		incarnation: 'i1',
		timers,
		random,
		metrics,
		peers,
		tickets,
		startForwardedJob: () => undefined,
	});
	const assignment = createAssignment(['entry-1']);
	register.setAssignment(assignment);
	client.setAssignment(assignment);
	return {tickets, register, client};
}

/** Creates a register in virtual time whose log discards its records, and a function that fills it. */
function createFilledRegister(size: number) {
	const timers = new VirtualTimers();
	const log = createMemoryRecordLog({timers, disk: createMemoryDisk()});
	log.append = (_record, onSynced) => {
		onSynced?.();
	};

	const turnDurationsMs: number[] = [];
	log.writeSnapshotInParts = parts => {
		let startedAtMs = performance.now();
		for (const part of parts) {
			encodeRecord(part);
			turnDurationsMs.push(performance.now() - startedAtMs);
			startedAtMs = performance.now();
		}
	};

	const {register} = createComponents(timers, log, new DiscardingNetwork());
	const fill = () => {
		for (let index = 0; index < size; index++) {
			register.handlePeerMessage('entry-1', {
				kind: 'register.claim',
				id: `quote-2026-${index}`,
				contentHash: getContentHash(createJob(String(index))),
				taskCount: 1,
				incarnation: 'i1',
				claim: index,
			});
		}
	};

	return {register, fill, turnDurationsMs};
}

function getHeapBytesAfterCollection(): number {
	setFlagsFromString('--expose-gc');
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The flag --expose-gc defines this function.
	const collect = runInNewContext('gc') as () => void;
	collect();
	collect();
	return process.memoryUsage().heapUsed;
}

function measureBytesPerRecord(size: number): number {
	const {register, fill} = createFilledRegister(size);
	const before = getHeapBytesAfterCollection();
	fill();
	const after = getHeapBytesAfterCollection();
	if (register.getStatus().recordCount !== size) {
		throw new Error('register does not hold all claimed records');
	}

	register.close();
	return (after - before) / size;
}

function measureSnapshotMs(size: number): number {
	const {register, fill, turnDurationsMs} = createFilledRegister(size);
	fill();
	register.writeSnapshot();
	register.close();
	return Math.max(...turnDurationsMs.slice(1));
}

type ClaimFigures = {meanDelayMs: number; jobsPerSync: number; claimsPerSecond: number};

async function measureClaims(name: string, unit: string, getValue: (figures: ClaimFigures) => number): Promise<Slope> {
	const points: Slope['points'] = [];
	for (const size of concurrencyLevels) {
		// eslint-disable-next-line no-await-in-loop -- Measurements run sequentially.
		const figures = await measureConcurrentClaims(size);
		points.push({size, value: getValue(figures)});
	}

	return {name, points, unit};
}

async function measureConcurrentClaims(concurrentJobs: number): Promise<ClaimFigures> {
	return withDiskLog(async ({log, metrics}) => {
		const peers = new LoopbackNetwork();
		const {register, client} = createComponents(new SystemTimers(), log, peers);
		peers.onMessage = message => {
			register.handlePeerMessage('entry-1', message);
			client.handlePeerMessage('entry-1', message);
		};

		const totals = {count: 0, delayMs: 0};
		let idCount = 0;
		let isStopped = false;
		const claim = () => {
			idCount++;
			if (!isStopped) {
				claimOnce(client, `quote-${idCount}`, durationMs => {
					totals.count++;
					totals.delayMs += durationMs;
					claim();
				});
			}
		};

		for (let job = 0; job < concurrentJobs; job++) {
			claim();
		}

		await sleep(warmUpMs);
		totals.count = 0;
		totals.delayMs = 0;
		const syncsBefore = metrics.getCount('storage-synced');
		const startedAtMs = performance.now();
		await sleep(measuredMs);
		const seconds = (performance.now() - startedAtMs) / 1000;
		isStopped = true;
		const figures = {
			meanDelayMs: totals.delayMs / totals.count,
			jobsPerSync: totals.count / (metrics.getCount('storage-synced') - syncsBefore),
			claimsPerSecond: totals.count / seconds,
		};
		register.close();
		client.close();
		return figures;
	});
}

function claimOnce(client: RegisterClient, id: string, onStart: (durationMs: number) => void): void {
	const job = createJob(id);
	const startedAtMs = performance.now();
	client.claimJob(job, getContentHash(job), decision => {
		if (decision.kind === 'start') {
			onStart(performance.now() - startedAtMs);
		}
	});
}

function measureTicketDelayMs(size: number): number {
	const timers = new VirtualTimers();
	const log = createMemoryRecordLog({timers, disk: createMemoryDisk()});
	const {tickets, register, client} = createComponents(timers, log, new LoopbackNetwork());
	const ids = tickets.issueTickets(size);
	const totals = {delayMs: 0};
	for (const id of ids) {
		claimOnce(client, id, durationMs => {
			totals.delayMs += durationMs;
		});
	}

	register.close();
	client.close();
	return totals.delayMs / size;
}
