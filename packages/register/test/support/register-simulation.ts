import {
	createSeededRandomSource, type Job, type JobOutcome, type Member, type RandomSource,
} from '@camphortack/core';
import {
	createMemoryDisk, createMemoryRecordLog, type MemoryDisk, type MemoryRecordLog,
} from '@camphortack/storage';
import {
	FakeNetwork, RecordingEventLog, RecordingMetricSink, VirtualTimers,
} from '@camphortack/testkit';
import {
	createAssignment, createJobRegister, createRegisterClient, createTicketTable, getContentHash,
	type ClaimDecision, type JobRegister, type RegisterAssignment, type RegisterClient, type TicketTable,
} from '@camphortack/register';

/** Faults injected to verify that the checks of the simulation detect violations. */
export type InjectedFault = 'sync-ignored' | 'epoch-ignored' | 'table-copied' | 'scope-widened' | 'outcomes-forgotten';

export type SimulationOptions = {
	seed: number;
	hasNetworkFaults: boolean;
	fault?: InjectedFault;
};

/** A submitted copy of a job and the answers to its caller. */
export type Copy = {
	job: Job;
	daemonId: string;
	incarnation: string;
	startsBefore: number;
	answers: Array<Exclude<ClaimDecision, {kind: 'start'} | {kind: 'attach'}>>;
};

type Daemon = {
	id: string;
	incarnation: string;
	isAlive: boolean;
	isKeeper: boolean;
	disk: MemoryDisk;
	/** The contents of the disk before the first job. */
	initialDisk: MemoryDisk;
	log: MemoryRecordLog | undefined;
	register: JobRegister | undefined;
	client: RegisterClient | undefined;
	tickets: TicketTable | undefined;
	/** The latest assignment that the daemon has persisted. */
	assignment: RegisterAssignment;
};

export const daemonIds = ['d1', 'd2', 'd3'] as const;
const membershipDelayMs = 400;
const maxRunMs = 2500;

/** Simulates three daemons, two of them keepers, with failing processes, disks and links. Counts the starts of each id. */
export class RegisterSimulation {
	readonly timers = new VirtualTimers();
	readonly random: RandomSource;
	readonly network: FakeNetwork;
	readonly copies: Copy[] = [];
	readonly starts = new Map<string, number>();
	readonly violations: string[] = [];
	assignment = createAssignment(['d1', 'd2']);
	readonly #daemons = new Map<string, Daemon>();
	readonly #options: SimulationOptions;
	#incarnationCount = 0;

	constructor(options: SimulationOptions) {
		this.#options = options;
		this.random = createSeededRandomSource(options.seed);
		this.network = new FakeNetwork({
			timers: this.timers,
			random: this.random,
			...(options.hasNetworkFaults && {maxDelayMs: 30, lossRatio: 0.03, duplicationRatio: 0.1}),
		});
		for (const id of daemonIds) {
			this.#daemons.set(id, {
				id,
				incarnation: '',
				isAlive: false,
				isKeeper: id !== 'd3',
				disk: createMemoryDisk(),
				initialDisk: createMemoryDisk(),
				log: undefined,
				register: undefined,
				client: undefined,
				tickets: undefined,
				assignment: this.assignment,
			});
			this.start(id, true);
		}

		this.#publishMembers();
		this.timers.advance(membershipDelayMs);
		for (const daemon of this.#daemons.values()) {
			daemon.initialDisk = copyDisk(daemon.disk);
		}
	}

	issueTicket(daemonId: string): string | undefined {
		const daemon = this.#daemons.get(daemonId)!;
		return daemon.isAlive ? daemon.tickets!.issueTickets(1)[0] : undefined;
	}

	submit(daemonId: string, job: Job): void {
		const daemon = this.#daemons.get(daemonId)!;
		if (!daemon.isAlive) {
			return;
		}

		const copy: Copy = {
			job,
			daemonId,
			incarnation: daemon.incarnation,
			startsBefore: this.#getStarts(job.id),
			answers: [],
		};
		this.copies.push(copy);
		daemon.client!.claimJob(job, getContentHash(job), decision => {
			if (decision.kind === 'start') {
				this.#run(daemon, job, outcome => {
					this.#answer(copy, {kind: 'outcome', outcome});
				});
			} else if (decision.kind !== 'attach') {
				this.#answer(copy, decision);
			}
		});
	}

	/** Starts a daemon process with the contents of the daemon's disk. */
	start(daemonId: string, isFirstStart = false): void {
		const daemon = this.#daemons.get(daemonId)!;
		if (daemon.isAlive) {
			return;
		}

		const {fault} = this.#options;
		const {timers, random} = this;
		const isTableCopied = fault === 'table-copied' && daemon.incarnation !== '';
		daemon.isAlive = true;
		daemon.incarnation = isTableCopied ? daemon.incarnation : `i${++this.#incarnationCount}`;
		const {incarnation} = daemon;
		const peers = this.network.addPeer(daemonId, (from, message) => {
			if (daemon.incarnation === incarnation && daemon.isAlive) {
				daemon.register?.handlePeerMessage(from, message);
				daemon.client!.handlePeerMessage(from, message);
			}
		});
		const metrics = new RecordingMetricSink();
		daemon.tickets = createTicketTable({
			issuer: {availabilityZone: 'zone', daemonId, incarnation},
			timers,
			random: createSeededRandomSource(isTableCopied ? 1 : random.getInteger(1, 1_000_000)),
			...(fault === 'table-copied' && {snapshot: this.#getCopiedTable(daemon)}),
		});
		if (daemon.isKeeper) {
			daemon.log = createMemoryRecordLog({timers, disk: daemon.disk});
			daemon.register = createJobRegister({
				ownId: daemonId,
				log: daemon.log,
				timers,
				random,
				metrics,
				events: new RecordingEventLog(),
				peers,
				isFirstStart: isFirstStart || fault === 'epoch-ignored',
				recordsPerSnapshot: 10,
			});
			daemon.register.setAssignment(daemon.assignment);
		}

		daemon.client = createRegisterClient({
			ownId: daemonId,
			incarnation,
			timers,
			random,
			metrics,
			peers,
			tickets: daemon.tickets,
			startForwardedJob: job => {
				this.#run(daemon, job, () => undefined);
			},
		});
		daemon.client.setAssignment(daemon.assignment);
		daemon.client.setMembers(this.#getMembers());
		this.#publishMembers();
	}

	/** Terminates a daemon process without a planned stop. */
	kill(daemonId: string, isDiskLost = false): void {
		const daemon = this.#daemons.get(daemonId)!;
		if (daemon.isAlive) {
			daemon.isAlive = false;
			this.network.removePeer(daemonId);
			daemon.log?.crash();
			daemon.register?.close();
			daemon.client!.close();
			daemon.tickets!.close();
			this.#publishMembers();
		}

		if (isDiskLost || (this.#options.fault === 'sync-ignored' && daemon.isKeeper)) {
			daemon.disk = isDiskLost ? createMemoryDisk() : copyDisk(daemon.initialDisk);
		}
	}

	/** Performs a planned stop, in which the tickets are transferred to a successor. */
	stop(daemonId: string, successorId: string): void {
		const daemon = this.#daemons.get(daemonId)!;
		if (daemon.isAlive && daemonId !== successorId) {
			const {incarnation} = daemon;
			daemon.client!.handOverTickets(successorId, () => {
				this.timers.addTimer(1000, () => {
					if (daemon.incarnation === incarnation) {
						this.kill(daemonId);
					}
				});
			});
		}
	}

	/** Makes the other daemons treat a live daemon as gone for three seconds. */
	suspect(daemonId: string): void {
		const suspected = this.#daemons.get(daemonId)!;
		for (const daemon of this.#daemons.values()) {
			if (daemon.isAlive && daemon !== suspected) {
				daemon.register?.markIncarnationGone(daemonId, suspected.incarnation);
				daemon.client!.setMembers(this.#getMembers().filter(member => member.id !== daemonId));
			}
		}

		this.timers.addTimer(3000, () => {
			this.#publishMembers();
		});
	}

	/** Changes the assignment of partitions. Each daemon receives the change after a random delay. */
	reassign(keeperIds: readonly string[], lostKeeperIds: readonly string[] = []): void {
		const next = createAssignment(keeperIds, this.assignment, lostKeeperIds);
		this.assignment = next;
		for (const daemon of this.#daemons.values()) {
			this.timers.addTimer(this.random.getInteger(0, 500), () => {
				if (next.version > daemon.assignment.version) {
					daemon.assignment = next;
				}

				if (daemon.isAlive) {
					daemon.register?.setAssignment(next);
					daemon.client!.setAssignment(next);
				}
			});
		}
	}

	isAlive(daemonId: string): boolean {
		return this.#daemons.get(daemonId)!.isAlive;
	}

	getIncarnation(daemonId: string): string {
		return this.#daemons.get(daemonId)!.incarnation;
	}

	#getCopiedTable(daemon: Daemon) {
		return {
			availabilityZone: 'zone',
			daemonId: daemon.id,
			incarnation: daemon.incarnation,
			secret: 'copied',
			firstNumber: 1,
			nextNumber: 1,
			entries: [],
		};
	}

	#getMembers(): Member[] {
		return [...this.#daemons.values()].filter(daemon => daemon.isAlive).map(({id, incarnation, isKeeper}) => ({
			id,
			incarnation,
			availabilityZone: 'zone',
			roles: isKeeper ? ['entry', 'keeper'] : ['entry'],
			host: '127.0.0.1',
			peerPort: 1,
		}));
	}

	#publishMembers(): void {
		this.timers.addTimer(membershipDelayMs, () => {
			const members = this.#getMembers();
			for (const daemon of this.#daemons.values()) {
				if (daemon.isAlive) {
					daemon.register?.setMembers(members);
					daemon.client!.setMembers(members);
				}
			}
		});
	}

	#getStarts(id: string): number {
		return this.starts.get(id) ?? 0;
	}

	/** Takes the place of the dispatcher: refuses the job before its start, or runs it. */
	#run(daemon: Daemon, job: Job, onEnd: (outcome: JobOutcome) => void): void {
		const {client, incarnation} = daemon;
		const end = (outcome: JobOutcome) => {
			if (daemon.incarnation === incarnation && daemon.isAlive && this.#options.fault !== 'outcomes-forgotten') {
				onEnd(outcome);
				client!.addOutcome(job.id, outcome);
			}
		};

		if (job.deadlineMs % 3 === 0) {
			end({
				outcome: 'refused',
				id: job.id,
				code: 'queue-full',
				notRun: 'job',
				message: 'full',
			});
			return;
		}

		const starts = this.#getStarts(job.id) + 1;
		this.starts.set(job.id, starts);
		if (starts > 1) {
			this.violations.push(`${job.id} started ${starts} times`);
		}

		this.timers.addTimer(this.random.getInteger(1, maxRunMs), () => {
			end({outcome: 'complete', id: job.id, results: [getContentHash(job)]});
		});
	}

	#answer(copy: Copy, answer: Copy['answers'][number]): void {
		copy.answers.push(answer);
		const {id} = copy.job;
		const outcome = answer.kind === 'outcome' ? answer.outcome : undefined;
		const refusal = [answer.kind === 'refused' ? answer : undefined, outcome].find(candidate => candidate !== undefined && 'notRun' in candidate);
		const notRun = this.#options.fault === 'scope-widened' && refusal !== undefined ? 'job' : refusal?.notRun;
		if (notRun === 'job' && this.#getStarts(id) > 0) {
			this.violations.push(`${id} was reported not to have run as a job, but started`);
		}

		if (outcome?.outcome === 'complete' && outcome.results[0] !== getContentHash(copy.job)) {
			this.violations.push(`${id} was answered with the result of different content`);
		}
	}
}

function copyDisk(disk: MemoryDisk): MemoryDisk {
	return {snapshot: disk.snapshot, records: [...disk.records]};
}
