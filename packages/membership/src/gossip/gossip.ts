import type {RandomSource, TimerService, TimerSubscription} from '@camphortack/core';
import {
	getTransmissionLimit, gossipDelayMs, gossipFanout, gossipIntervalMs,
} from '../membership-timings.js';
import {maxUpdatesPerMessage, type ZoneObservation} from '../messages/membership-messages.js';
import type {MemberRecord} from '../table/member-record.js';
import {getSample} from '../utils/get-sample.js';

/** The updates that are piggybacked on a message. */
export type Updates = {
	records: MemberRecord[];
	observations: ZoneObservation[];
};

export type GossipOptions = {
	timers: TimerService;
	random: RandomSource;
	/** Gets the other live daemons of the own availability zone. */
	getTargetIds: () => string[];
	send: (peerId: string) => void;
};

/**
 * Disseminates updates within the availability zone, each a bounded number of times. It sends no messages unless updates
 * are pending.
 */
export type Gossip = {
	/**
	 * Disseminates a record.
	 * @param record - The record. It replaces a pending one of the same daemon.
	 * @param sourceId - The daemon that sent the record, which does not get it back.
	 */
	addRecord(record: MemberRecord, sourceId: string | undefined): void;
	addObservation(observation: ZoneObservation, sourceId: string | undefined): void;
	/** Takes the updates to piggyback on a message, starting with those transmitted the fewest times. */
	takeUpdates(peerId: string): Updates;
	stop(): void;
};

type Entry = {
	record?: MemberRecord;
	observation?: ZoneObservation;
	sourceId: string | undefined;
	remainingTransmissions: number;
};

/**
 * Creates the gossip.
 * @param options - The timers, the possible targets and the send function.
 */
export function createGossip({timers, random, getTargetIds, send}: GossipOptions): Gossip {
	const entries = new Map<string, Entry>();
	let timer: TimerSubscription | undefined;

	function add(key: string, entry: Omit<Entry, 'remainingTransmissions'>): void {
		entries.set(key, {...entry, remainingTransmissions: getTransmissionLimit(getTargetIds().length + 1)});
		timer ??= timers.addTimer(gossipDelayMs, sendRound);
	}

	function sendRound(): void {
		timer = undefined;
		const targetIds = getTargetIds();
		for (const peerId of getSample(targetIds, gossipFanout, random)) {
			if (entries.size > 0 && [...entries.values()].some(entry => entry.sourceId !== peerId)) {
				send(peerId);
			}
		}

		removeUndeliverable(targetIds);
		if (entries.size > 0) {
			timer = timers.addTimer(gossipIntervalMs, sendRound);
		}
	}

	/** Removes the updates that have no target other than their source. */
	function removeUndeliverable(targetIds: readonly string[]): void {
		for (const [key, entry] of entries) {
			if (targetIds.every(id => id === entry.sourceId)) {
				entries.delete(key);
			}
		}
	}

	function takeUpdates(peerId: string): Updates {
		const updates: Updates = {records: [], observations: []};
		if (entries.size === 0) {
			return updates;
		}

		const selected = [...entries].filter(([, entry]) => entry.sourceId !== peerId)
			.toSorted(([, left], [, right]) => right.remainingTransmissions - left.remainingTransmissions)
			.slice(0, maxUpdatesPerMessage);
		for (const [key, entry] of selected) {
			if (entry.record !== undefined) {
				updates.records.push(entry.record);
			}

			if (entry.observation !== undefined) {
				updates.observations.push(entry.observation);
			}

			entry.remainingTransmissions--;
			if (entry.remainingTransmissions <= 0) {
				entries.delete(key);
			}
		}

		return updates;
	}

	return {
		addRecord(record, sourceId) {
			add(`daemon ${record.id}`, {record, sourceId});
		},
		addObservation(observation, sourceId) {
			add(`zone ${observation.availabilityZone} ${observation.observerId}`, {observation, sourceId});
		},
		takeUpdates,
		stop() {
			timer?.cancel();
			entries.clear();
		},
	};
}
