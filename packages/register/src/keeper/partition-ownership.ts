import type {TimerService, TimerSubscription} from '@camphortack/core';
import type {
	TransferredRecord, KeeperMessage, KeeperMessageOf, PartitionMessage,
} from '../messages/register-messages.js';
import {getPartition, type RegisterAssignment} from '../partitions/assignment.js';
import type {RegisterJournal} from './register-journal.js';
import type {RegisterState} from './register-state.js';

export type PartitionOwnershipOptions = {
	ownId: string;
	state: RegisterState;
	journal: RegisterJournal;
	timers: TimerService;
	sendToKeeper: (peerId: string, message: KeeperMessage) => void;
	/** Whether the register has existed since the first start of the cluster. */
	isFirstEpoch: boolean;
	retentionMs: number;
	/** How long unknown ids are refused after the loss of a previous owner. */
	lostOwnerQuarantineMs: number;
};

/** Tracks which partitions this keeper owns and transfers partitions between keepers. */
export type PartitionOwnership = {
	setAssignment(assignment: RegisterAssignment): void;
	isOwned(id: string): boolean;
	/** Whether ids in the partition may have been claimed without a record here. */
	isQuarantined(id: string): boolean;
	handleMessage(fromPeerId: string, message: PartitionMessage): void;
	getCounts(): {ownedPartitions: number; quarantinedPartitions: number};
	close(): void;
};

const retryIntervalMs = 500;
const recordsPerPart = 500;

/**
 * Creates the ownership tracking from the persisted state.
 *
 * A partition is transferred in four steps, each durable before the next: the old owner receives the new assignment
 * and stops deciding claims; the new owner stores all records; the old owner releases the partition; the new owner
 * takes ownership.
 * @param options - The state and the ports.
 */
export function createPartitionOwnership(options: PartitionOwnershipOptions): PartitionOwnership {
	const {
		ownId, state, journal, timers, sendToKeeper, isFirstEpoch, retentionMs, lostOwnerQuarantineMs,
	} = options;
	let assignment: RegisterAssignment | undefined;
	/** The next part to request, by incoming partition. */
	const nextParts = new Map<number, number>();
	/** The ids by outgoing partition. Computed once per assignment, because this keeper no longer adds ids to those partitions. */
	let outgoingIds: Map<number, string[]> | undefined;
	const retries: TimerSubscription = timers.addInterval(retryIntervalMs, sendPendingRequests);

	function isAssigned(partition: number): boolean {
		return assignment?.partitions[partition]?.ownerId === ownId;
	}

	function setAssignment(next: RegisterAssignment): void {
		if (assignment !== undefined && next.version <= assignment.version) {
			return;
		}

		assignment = next;
		nextParts.clear();
		outgoingIds = undefined;
		for (const [partition, {ownerId, previousOwnerId, isPreviousOwnerLost}] of next.partitions.entries()) {
			if (ownerId !== ownId || state.partitions.has(partition)) {
				continue;
			}

			if (previousOwnerId === undefined) {
				setOwned(partition, isFirstEpoch ? 0 : retentionMs);
			} else if (isPreviousOwnerLost === true) {
				setOwned(partition, lostOwnerQuarantineMs);
			} else {
				nextParts.set(partition, 0);
			}
		}

		sendPendingRequests();
	}

	function setOwned(partition: number, quarantineMs: number): void {
		nextParts.delete(partition);
		const quarantineUntilMs = quarantineMs > 0 ? journal.getNowMs() + quarantineMs : 0;
		journal.write({
			kind: 'partition',
			partition,
			state: 'owned',
			quarantineUntilMs,
		});
	}

	function sendPendingRequests(): void {
		for (const partition of nextParts.keys()) {
			requestPart(partition);
		}

		for (const [partition, {state: ownedState}] of state.partitions) {
			if (ownedState === 'taken') {
				sendTaken(partition);
			}
		}
	}

	function requestPart(partition: number): void {
		const previousOwnerId = assignment?.partitions[partition]?.previousOwnerId;
		const part = nextParts.get(partition);
		if (assignment !== undefined && previousOwnerId !== undefined && part !== undefined) {
			sendToKeeper(previousOwnerId, {
				kind: 'register.ask-partition',
				partition,
				version: assignment.version,
				part,
			});
		}
	}

	function sendTaken(partition: number): void {
		const previousOwnerId = assignment?.partitions[partition]?.previousOwnerId;
		if (assignment !== undefined && previousOwnerId !== undefined && isAssigned(partition)) {
			sendToKeeper(previousOwnerId, {kind: 'register.partition-taken', partition, version: assignment.version});
		}
	}

	/** Answers the new owner only after this keeper has received the assignment that ends its own ownership. */
	function handleAsk(fromPeerId: string, message: KeeperMessageOf<'register.ask-partition'>): void {
		const {partition, version, part} = message;
		if (assignment === undefined || assignment.version < version || isAssigned(partition)) {
			return;
		}

		const owned = state.partitions.get(partition);
		const isKnown = owned?.state === 'owned';
		const ids = isKnown ? getOutgoingIds(partition) : [];
		const start = part * recordsPerPart;
		sendToKeeper(fromPeerId, {
			kind: 'register.partition-part',
			partition,
			version,
			part,
			isLast: start + recordsPerPart >= ids.length,
			isKnown,
			quarantineLeftMs: isKnown ? Math.max(0, owned.quarantineUntilMs - journal.getNowMs()) : 0,
			records: ids.slice(start, start + recordsPerPart).flatMap(id => getTransferredRecords(id)),
		});
	}

	function getOutgoingIds(partition: number): readonly string[] {
		outgoingIds ??= collectOutgoingIds();
		return outgoingIds.get(partition) ?? [];
	}

	function collectOutgoingIds(): Map<number, string[]> {
		const idsByPartition = new Map<number, string[]>();
		for (const {id} of state.records.getRecords()) {
			const partition = getPartition(id);
			if (!isAssigned(partition)) {
				const ids = idsByPartition.get(partition) ?? [];
				ids.push(id);
				idsByPartition.set(partition, ids);
			}
		}

		return idsByPartition;
	}

	/** Gets the record of an id, or an empty array if the record has expired in the meantime. */
	function getTransferredRecords(id: string): TransferredRecord[] {
		const record = state.records.findRecord(id);
		if (record === undefined) {
			return [];
		}

		const {claimant: {daemonId, incarnation}, ...rest} = record;
		return [{
			id,
			...rest,
			daemonId,
			incarnation,
			outcome: record.isEnded ? state.outcomes.findOutcome(id) : undefined,
		}];
	}

	function handlePart(message: KeeperMessageOf<'register.partition-part'>): void {
		const {
			partition, version, part, isLast, isKnown, quarantineLeftMs, records,
		} = message;
		if (version !== assignment?.version || nextParts.get(partition) !== part) {
			return;
		}

		if (!isKnown) {
			setOwned(partition, lostOwnerQuarantineMs);
			return;
		}

		for (const record of records) {
			writeTransferredRecord(record);
		}

		nextParts.set(partition, part + 1);
		if (!isLast) {
			requestPart(partition);
			return;
		}

		nextParts.delete(partition);
		const quarantineUntilMs = quarantineLeftMs > 0 ? journal.getNowMs() + quarantineLeftMs : 0;
		journal.write({
			kind: 'partition',
			partition,
			state: 'taken',
			quarantineUntilMs,
		}, () => {
			sendTaken(partition);
		});
	}

	function writeTransferredRecord(record: TransferredRecord): void {
		const {isEnded, taskCount, outcome, ...common} = record;
		const atMs = journal.getNowMs();
		if (isEnded) {
			journal.write({
				kind: 'outcome', atMs, ...common, ...(outcome !== undefined && {outcome}),
			});
		} else {
			journal.write({
				kind: 'claim', atMs, ...common, taskCount,
			});
		}
	}

	function handleTaken(fromPeerId: string, message: KeeperMessageOf<'register.partition-taken'>): void {
		const {partition, version} = message;
		if (assignment === undefined || assignment.version < version || isAssigned(partition)) {
			return;
		}

		const reply = () => {
			sendToKeeper(fromPeerId, {kind: 'register.partition-released', partition, version});
		};

		if (state.partitions.has(partition)) {
			journal.write({
				kind: 'partition',
				partition,
				state: 'none',
				quarantineUntilMs: 0,
			}, reply);
		} else {
			journal.flush(reply);
		}
	}

	function handleReleased(message: KeeperMessageOf<'register.partition-released'>): void {
		const owned = state.partitions.get(message.partition);
		if (owned?.state === 'taken' && message.version === assignment?.version) {
			journal.write({
				kind: 'partition',
				partition: message.partition,
				state: 'owned',
				quarantineUntilMs: owned.quarantineUntilMs,
			});
		}
	}

	function isPartitionOwned(partition: number): boolean {
		return isAssigned(partition) && state.partitions.get(partition)?.state === 'owned';
	}

	function isPartitionQuarantined(partition: number): boolean {
		return (state.partitions.get(partition)?.quarantineUntilMs ?? 0) > journal.getNowMs();
	}

	return {
		setAssignment,
		isOwned: id => isPartitionOwned(getPartition(id)),
		isQuarantined: id => isPartitionQuarantined(getPartition(id)),
		handleMessage(fromPeerId, message) {
			switch (message.kind) {
				case 'register.ask-partition': {
					handleAsk(fromPeerId, message);
					break;
				}

				case 'register.partition-part': {
					handlePart(message);
					break;
				}

				case 'register.partition-taken': {
					handleTaken(fromPeerId, message);
					break;
				}

				case 'register.partition-released': {
					handleReleased(message);
					break;
				}
			}
		},
		getCounts() {
			const owned = [...state.partitions.keys()].filter(partition => isPartitionOwned(partition));
			return {
				ownedPartitions: owned.length,
				quarantinedPartitions: owned.filter(partition => isPartitionQuarantined(partition)).length,
			};
		},
		close() {
			retries.cancel();
		},
	};
}
