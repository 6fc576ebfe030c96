import type {RandomSource, TimerService, TimerSubscription} from '@camphortack/core';
import {shuffle} from '../utils/shuffle.js';
import type {MemberTable} from '../members/member-table.js';
import type {MemberRecord, MembershipMessage, Updates} from '../messages/membership-messages.js';

/** Probes one daemon of the own availability zone each period, whatever their number. */
export type FailureDetector = {
	handlePing(fromPeerId: string, sequence: number): void;
	handleAck(sequence: number): void;
	handlePingRequest(fromPeerId: string, sequence: number, targetId: string): void;
	/** Starts or ends the waiting for a refutation after a change of a record. */
	handleChange(record: MemberRecord): void;
	stop(): void;
};

export type FailureDetectorOptions = {
	ownId: string;
	zone: string;
	timers: TimerService;
	random: RandomSource;
	table: MemberTable;
	send: (peerId: string, message: MembershipMessage) => void;
	/** Takes the updates that go with a message to a daemon. */
	takeUpdates: (peerId: string) => Updates;
	/** Says that a daemon did not answer, or did not refute in time. */
	onVerdict: (record: MemberRecord, state: 'suspected' | 'dead') => void;
};

type Probe = {
	target: MemberRecord;
	timer: TimerSubscription;
};

type Relay = {
	peerId: string;
	sequence: number;
	endsAtMs: number;
};

const probePeriodMs = 400;
const ackTimeoutMs = 150;
/** Daemons that are asked to probe one that did not answer. */
const indirectProbes = 3;
const shortestSuspicionMs = 700;
/** Added for each doubling of the number of daemons, so that a refutation can reach all. */
const suspicionPerDoublingMs = 40;
/** After a gap of this many periods the process was paused, and missing answers prove nothing. */
const pausedPeriods = 2;
/** A daemon that counts as gone is tried once in this many periods. */
const reachOutPeriods = 5;
const relayLifetimeMs = 1000;
/** How many of those who hear of a suspicion probe the daemon themselves. */
const checksPerSuspicion = 5;

/** Creates the detector and starts its periods. */
export function createFailureDetector(options: FailureDetectorOptions): FailureDetector {
	const {ownId, zone, timers, random, table, send, takeUpdates, onVerdict} = options;
	const probes = new Map<number, Probe>();
	const relays = new Map<number, Relay>();
	const suspicions = new Map<string, TimerSubscription>();
	let round: string[] = [];
	let lastSequence = 0;
	let periodCount = 0;
	let periodStartedAtMs = timers.getNowMs();
	const periods = timers.addInterval(probePeriodMs, startPeriod);

	function startPeriod(): void {
		const nowMs = timers.getNowMs();
		if (nowMs - periodStartedAtMs > pausedPeriods * probePeriodMs) {
			forgetPending();
		}

		periodStartedAtMs = nowMs;
		for (const [sequence, relay] of relays) {
			if (nowMs >= relay.endsAtMs) {
				relays.delete(sequence);
			}
		}

		const target = takeNextTarget();
		if (target !== undefined) {
			probe(target);
		}

		if (periodCount++ % reachOutPeriods === 0) {
			reachOut();
		}
	}

	/** Forgets probes and suspicions whose answers a paused process may have missed. */
	function forgetPending(): void {
		for (const {timer} of probes.values()) {
			timer.cancel();
		}

		probes.clear();
		for (const id of suspicions.keys()) {
			startSuspicion(id);
		}
	}

	/** Each round visits every live daemon once, in random order. */
	function takeNextTarget(): MemberRecord | undefined {
		const live = new Map(table.getLive(zone).map(record => [record.id, record]));
		live.delete(ownId);
		if (live.size === 0) {
			return undefined;
		}

		round = round.filter(id => live.has(id));
		if (round.length === 0) {
			round = shuffle([...live.keys()], random);
		}

		return live.get(round.pop()!);
	}

	function probe(target: MemberRecord): void {
		const sequence = ++lastSequence;
		sendPing(target.id, sequence);
		const timer = timers.addTimer(ackTimeoutMs, () => {
			askOthers(target, sequence);
		});
		probes.set(sequence, {target, timer});
	}

	function sendPing(peerId: string, sequence: number): void {
		send(peerId, {
			kind: 'membership.ping',
			sequence,
			digest: table.getDigest(),
			updates: takeUpdates(peerId),
		});
	}

	function askOthers(target: MemberRecord, sequence: number): void {
		if (isPaused()) {
			return;
		}

		const others = table.getLive(zone).filter(record => record.id !== ownId && record.id !== target.id);
		for (const other of shuffle(others, random).slice(0, indirectProbes)) {
			send(other.id, {
				kind: 'membership.ping-request',
				sequence,
				targetId: target.id,
				updates: takeUpdates(other.id),
			});
		}

		const timer = timers.addTimer(probePeriodMs - ackTimeoutMs, () => {
			probes.delete(sequence);
			if (!isPaused()) {
				suspect(target);
			}
		});
		probes.set(sequence, {target, timer});
	}

	function isPaused(): boolean {
		return timers.getNowMs() - periodStartedAtMs > pausedPeriods * probePeriodMs;
	}

	function suspect(target: MemberRecord): void {
		const record = table.findRecord(target.id);
		if (record?.state === 'alive' && record.counter === target.counter) {
			onVerdict(record, 'suspected');
		}
	}

	/** Tries a daemon that counts as gone, so that a healed partition is noticed. */
	function reachOut(): void {
		const gone = table.getAll().filter(record => record.availabilityZone === zone && record.state === 'dead');
		if (gone.length > 0) {
			sendPing(gone[random.getInteger(0, gone.length - 1)]!.id, ++lastSequence);
		}
	}

	function handlePing(fromPeerId: string, sequence: number): void {
		send(fromPeerId, {kind: 'membership.ack', sequence, updates: takeUpdates(fromPeerId)});
	}

	function handleAck(sequence: number): void {
		probes.get(sequence)?.timer.cancel();
		probes.delete(sequence);
		const relay = relays.get(sequence);
		if (relay !== undefined) {
			relays.delete(sequence);
			send(relay.peerId, {kind: 'membership.ack', sequence: relay.sequence, updates: takeUpdates(relay.peerId)});
		}
	}

	function handlePingRequest(fromPeerId: string, sequence: number, targetId: string): void {
		const relaySequence = ++lastSequence;
		relays.set(relaySequence, {peerId: fromPeerId, sequence, endsAtMs: timers.getNowMs() + relayLifetimeMs});
		sendPing(targetId, relaySequence);
	}

	function handleChange(record: MemberRecord): void {
		if (record.availabilityZone !== zone || record.id === ownId) {
			return;
		}

		suspicions.get(record.id)?.cancel();
		suspicions.delete(record.id);
		if (record.state === 'suspected') {
			startSuspicion(record.id);
			const live = table.getLive(zone).length;
			if (random.getFraction() < checksPerSuspicion / live) {
				sendPing(record.id, ++lastSequence);
			}
		}
	}

	function startSuspicion(id: string): void {
		const live = table.getLive(zone).length;
		const timeoutMs = shortestSuspicionMs + (suspicionPerDoublingMs * Math.log2(live));
		suspicions.get(id)?.cancel();
		suspicions.set(id, timers.addTimer(timeoutMs, () => {
			endSuspicion(id);
		}));
	}

	function endSuspicion(id: string): void {
		if (isPaused()) {
			startSuspicion(id);
			return;
		}

		suspicions.delete(id);
		const record = table.findRecord(id);
		if (record?.state === 'suspected') {
			onVerdict(record, 'dead');
		}
	}

	return {
		handlePing,
		handleAck,
		handlePingRequest,
		handleChange,
		stop() {
			periods.cancel();
			for (const timer of [...suspicions.values(), ...[...probes.values()].map(each => each.timer)]) {
				timer.cancel();
			}
		},
	};
}
