import type {EventLog, TimerService} from '@camphortack/core';
import type {
	BackendServerDescription, EntryProcess, PlacementMessage, PlacementMessageOf, ServerRecorder,
} from '@camphortack/placement';
import {recordRepetitionMs, recordReceiverTimeoutMs} from '../cluster-timings.js';

/** Sends the backend servers that a placer uses to the entry daemons of its jobs, until they have recorded them. */
export type ServerRecordSender = ServerRecorder & {
	/** Sends the process of an entry daemon what it lacks, if it is new or has not acknowledged the last list in time. */
	handleEntry(entry: EntryProcess): void;
	/** Handles the acknowledgement of an entry daemon. */
	handleRecorded(entryId: string, message: PlacementMessageOf<'placement.servers-recorded'>): void;
};

export type ServerRecordSenderOptions = {
	timers: TimerService;
	events: EventLog;
	/** The shard, the term and the start of the process of the placer. */
	placer: Pick<PlacementMessageOf<'placement.record-servers'>, 'shard' | 'term' | 'incarnation'>;
	send: (toId: string, message: PlacementMessage) => void;
	/** Called when an entry daemon has recorded backend servers, so that its tasks may start there. */
	onRecorded: () => void;
};

type UsedServer = {
	description: BackendServerDescription;
	/** The number of the first list with this incarnation. */
	listNumber: number;
};

type Receiver = {
	incarnation: string;
	/** The last list that the process has acknowledged, and the last one that it was sent; 0 if there is none. */
	recordedNumber: number;
	sentNumber: number;
	sentAtMs: number;
	/** When it last sent the placer a message. */
	heardAtMs: number;
};

const noIds: ReadonlySet<string> = new Set();

/**
 * Creates the sender of a term, which uses no backend servers yet.
 * @param options - The placer and the function that sends a message.
 *
 * @example
 * ```ts
 * const sender = createServerRecordSender(options);
 * const entry = {entryId: '10.3.0.31', incarnation: 'one'};
 * sender.setServers(descriptions);
 * sender.handleEntry(entry); // Sends the descriptions.
 * sender.getUnrecordedIds([entry]); // the ids of all of them, until the entry daemon acknowledges the list
 * ```
 */
export function createServerRecordSender({timers, events, placer, send, onRecorded}: ServerRecordSenderOptions): ServerRecordSender {
	const receivers = new Map<string, Receiver>();
	const earlierVersionIds = new Set<string>();
	let servers = new Map<string, UsedServer>();
	let listNumber = 0;

	/** A list is sent when the last one is acknowledged, or has not been for a while. */
	function sendIfDue(entryId: string, receiver: Receiver): void {
		const isAcknowledged = receiver.recordedNumber >= receiver.sentNumber;
		if (receiver.recordedNumber < listNumber && (isAcknowledged || timers.getNowMs() - receiver.sentAtMs >= recordRepetitionMs)) {
			sendList(entryId, receiver);
		}
	}

	function sendList(entryId: string, receiver: Receiver): void {
		receiver.sentNumber = listNumber;
		receiver.sentAtMs = timers.getNowMs();
		const unrecorded = [...servers.values()].filter(server => server.listNumber > receiver.recordedNumber);
		send(entryId, {
			kind: 'placement.record-servers', ...placer, listNumber, serverIds: [...servers.keys()], descriptions: unrecorded.map(({description}) => description),
		});
	}

	function isListed({id, bornMs}: BackendServerDescription): boolean {
		return servers.get(id)?.description.bornMs === bornMs;
	}

	/** An entry daemon that was not heard for a while gets the list when it is heard again. */
	function sendToRecentReceivers(): void {
		const oldestMs = timers.getNowMs() - recordReceiverTimeoutMs;
		for (const [entryId, receiver] of receivers) {
			if (receiver.heardAtMs >= oldestMs) {
				sendIfDue(entryId, receiver);
			}
		}
	}

	function getReceiver(entryId: string, incarnation: string): Receiver {
		const known = receivers.get(entryId);
		if (known?.incarnation === incarnation) {
			return known;
		}

		const receiver = {
			incarnation, recordedNumber: 0, sentNumber: 0, sentAtMs: Number.NEGATIVE_INFINITY, heardAtMs: timers.getNowMs(),
		};
		receivers.set(entryId, receiver);
		return receiver;
	}

	function getRecordedNumber({entryId, incarnation}: EntryProcess): number {
		if (incarnation === undefined) {
			return Number.POSITIVE_INFINITY;
		}

		const receiver = receivers.get(entryId);
		return receiver?.incarnation === incarnation ? receiver.recordedNumber : 0;
	}

	/** An entry daemon of an earlier version records nothing; its jobs start as that version expects. */
	function handleEarlierVersion(entryId: string): void {
		if (!earlierVersionIds.has(entryId)) {
			earlierVersionIds.add(entryId);
			events.write('entry-without-record', {entry: entryId, term: placer.term});
		}
	}

	return {
		setServers(descriptions) {
			const used = [...descriptions];
			if (used.length === servers.size && used.every(description => isListed(description))) {
				return;
			}

			listNumber++;
			servers = new Map(used.map(description => [description.id, isListed(description) ? servers.get(description.id)! : {description, listNumber}]));
			sendToRecentReceivers();
		},
		getUnrecordedIds(entries) {
			const recordedNumber = Math.min(...[...entries].map(entry => getRecordedNumber(entry)));
			if (recordedNumber >= listNumber) {
				return noIds;
			}

			return new Set([...servers.values()].filter(server => server.listNumber > recordedNumber).map(({description}) => description.id));
		},
		handleEntry({entryId, incarnation}) {
			if (incarnation === undefined) {
				handleEarlierVersion(entryId);
				return;
			}

			const receiver = getReceiver(entryId, incarnation);
			receiver.heardAtMs = timers.getNowMs();
			sendIfDue(entryId, receiver);
		},
		handleRecorded(entryId, {term, placerIncarnation, incarnation, listNumber: recordedNumber}) {
			const receiver = receivers.get(entryId);
			if (term !== placer.term || placerIncarnation !== placer.incarnation || receiver?.incarnation !== incarnation) {
				return;
			}

			receiver.recordedNumber = recordedNumber === 0 ? 0 : Math.max(receiver.recordedNumber, recordedNumber);
			sendIfDue(entryId, receiver);
			onRecorded();
		},
	};
}
