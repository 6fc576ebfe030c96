import type {PeerMessage} from '@camphortack/core';
import {createFailureDetector} from './detection/failure-detector.js';
import {createPingRelay} from './detection/ping-relay.js';
import {createExchanger} from './exchange/exchanger.js';
import {createGossip} from './gossip/gossip.js';
import {sayFarewell} from './farewell/say-farewell.js';
import {getMembershipStatus} from './get-membership-status.js';
import type {Membership, MembershipOptions} from './membership.js';
import {createRecordMerger} from './merge/record-merger.js';
import {
	membershipMessageSchema, mostRecordsPerMessage, type MembershipMessage, type MembershipMessageOf,
} from './messages/membership-messages.js';
import {isLive, type MemberRecord} from './table/member-record.js';
import {createMemberTable} from './table/member-table.js';
import {createZoneLinks} from './zones/zone-links.js';

/** With more changes at once than this, daemons compare digests rather than gossip each change. */
const mostGossipedRecords = 10;

/**
 * Creates the membership of one daemon and starts to join the others.
 * @param options - This daemon, its seeds, its ports and who is told of changes.
 *
 * @example
 * ```ts
 * const membership = createMembership({ownMember, seeds, peers, timers, random, metrics, events, onMembersChanged, onAddress});
 * router.addPart('membership', membership.handlePeerMessage);
 * ```
 */
export function createMembership(options: MembershipOptions): Membership {
	const {ownMember, peers, timers, random, metrics, events} = options;
	const seeds = options.seeds.filter(seed => seed.id !== ownMember.id);
	const ownZone = ownMember.availabilityZone;
	const relay = createPingRelay(timers);
	let sequence = 0;
	let notifiedVersion = 0;
	let isStopped = false;

	const table = createMemberTable({
		ownRecord: {
			...ownMember, roles: [...ownMember.roles], counter: 0, state: 'alive',
		},
		timers,
		onChange(record, earlier) {
			noteChange(record, earlier);
		},
	});
	for (const {id, host, port} of seeds) {
		options.onAddress({id, host, port});
	}

	notify();
	const gossip = createGossip({
		timers, random, getTargetIds: getZonePeerIds, send: sendGossip,
	});
	const detector = createFailureDetector({
		table,
		timers,
		random,
		sendPing(peerId) {
			send(peerId, {kind: 'membership.ping', sequence: getNextSequence(), ...getHeader(peerId)});
		},
		sendPingRequest(helperId, targetId) {
			send(helperId, {
				kind: 'membership.ping-request', sequence: getNextSequence(), targetId, ...getHeader(helperId),
			});
		},
		onVerdict(record) {
			metrics.increment(record.state === 'suspect' ? 'membership-suspected' : 'membership-declared-dead');
			merger.mergeVerdict(record);
			notify();
		},
	});
	const merger = createRecordMerger({
		table, gossip, detector, metrics,
	});
	const exchanger = createExchanger({
		table, seeds, timers, random, send, sendRecords,
	});
	const links = createZoneLinks({
		table,
		seeds,
		timers,
		random,
		events,
		send,
		requestZone: exchanger.requestZone,
		onObservation(observation) {
			gossip.addObservation(observation, undefined);
		},
	});

	function getNextSequence(): number {
		sequence++;
		return sequence;
	}

	function getZonePeerIds(): string[] {
		return table.getLiveIds(ownZone).filter(id => id !== ownMember.id);
	}

	function send(peerId: string, message: MembershipMessage): void {
		if (!isStopped) {
			metrics.increment('membership-sent');
			peers.send(peerId, message);
		}
	}

	/** Gets what goes with each message: who sends it, and changes; a daemon that is not held alive is told so. */
	function getHeader(peerId: string) {
		const {incarnation, counter} = table.getOwn();
		const {records, observations} = gossip.takeUpdates(peerId);
		const known = table.findRecord(peerId);
		if (known !== undefined && known.state !== 'alive' && records.every(record => record.id !== peerId)) {
			records.push(known);
		}

		return {
			incarnation, counter, records, observations,
		};
	}

	function sendGossip(peerId: string): void {
		send(peerId, {kind: 'membership.gossip', ...getHeader(peerId)});
	}

	function sendRecords(peerId: string, zones: readonly string[]): void {
		const {incarnation, counter} = table.getOwn();
		const records = zones.flatMap(zone => table.getZoneRecords(zone));
		let observations = table.findRecord(peerId)?.availabilityZone === ownZone ? links.getObservations().slice(0, mostRecordsPerMessage) : [];
		for (let start = 0; start < records.length; start += mostRecordsPerMessage) {
			send(peerId, {
				kind: 'membership.records', incarnation, counter, records: records.slice(start, start + mostRecordsPerMessage), observations,
			});
			observations = [];
		}
	}

	function noteChange(record: MemberRecord, earlier: MemberRecord | undefined): void {
		const {id, host, peerPort} = record;
		if (id === ownMember.id) {
			return;
		}

		if (earlier?.host !== host || earlier.peerPort !== peerPort) {
			options.onAddress({id, host, port: peerPort});
		}

		if (record.state === 'alive') {
			detector.noteHeard(id);
		}

		const wasLive = earlier !== undefined && isLive(earlier);
		if (wasLive !== isLive(record)) {
			events.write(isLive(record) ? 'member-joined' : 'member-lost', {peer: id, availabilityZone: record.availabilityZone, state: record.state});
		}
	}

	function notify(): void {
		if (table.getVersion() !== notifiedVersion) {
			notifiedVersion = table.getVersion();
			options.onMembersChanged(table.getMembers());
		}
	}

	/** Compares records with a sender that is not known as it says it is; a higher counter alone is a refutation. */
	function checkSender(fromPeerId: string, incarnation: string, counter: number): void {
		const known = table.findRecord(fromPeerId);
		if (known?.incarnation !== incarnation) {
			exchanger.start(fromPeerId);
		} else if (counter > known.counter) {
			merger.mergeRecord({...known, counter, state: 'alive'}, fromPeerId);
		}
	}

	function noteHeard(peerId: string): void {
		detector.noteHeard(peerId);
		links.noteHeard(peerId);
	}

	function takeSender(fromPeerId: string, sender: MemberRecord): void {
		options.onAddress({id: sender.id, host: sender.host, port: sender.peerPort});
		if (!merger.mergeRecord(sender, fromPeerId)) {
			checkSender(fromPeerId, sender.incarnation, sender.counter);
		}
	}

	function takeUpdates(fromPeerId: string, message: Exclude<MembershipMessage, {sender: MemberRecord}>): void {
		const isTransfer = message.kind === 'membership.records';
		if (isTransfer) {
			const changed = message.records.filter(record => merger.mergeTransferred(record));
			if (changed.length > mostGossipedRecords) {
				exchanger.spread();
			} else {
				merger.spread(changed, fromPeerId);
			}
		} else {
			for (const record of message.records) {
				merger.mergeRecord(record, fromPeerId);
			}
		}

		for (const observation of message.observations) {
			if (links.addObservation(observation)) {
				gossip.addObservation(observation, fromPeerId);
			}
		}
	}

	function handle(fromPeerId: string, message: MembershipMessage): void {
		if ('sender' in message) {
			takeSender(fromPeerId, message.sender);
		} else {
			checkSender(fromPeerId, message.incarnation, message.counter);
			takeUpdates(fromPeerId, message);
		}

		noteHeard(fromPeerId);
		answer(fromPeerId, message);
	}

	function answer(fromPeerId: string, message: MembershipMessage): void {
		switch (message.kind) {
			case 'membership.ping': {
				send(fromPeerId, {kind: 'membership.ack', sequence: message.sequence, ...getHeader(fromPeerId)});
				break;
			}

			case 'membership.ack': {
				answerRequester(fromPeerId, message);
				break;
			}

			case 'membership.ping-request': {
				const relayed = getNextSequence();
				relay.add(relayed, fromPeerId);
				send(message.targetId, {kind: 'membership.ping', sequence: relayed, ...getHeader(message.targetId)});
				break;
			}

			case 'membership.relayed-ack': {
				if (table.findRecord(message.targetId)?.incarnation === message.targetIncarnation) {
					detector.noteHeard(message.targetId);
				}

				break;
			}

			case 'membership.exchange': {
				exchanger.noteAnswer(fromPeerId);
				exchanger.handleExchange(fromPeerId, message);
				break;
			}

			case 'membership.summary': {
				links.handleSummary(fromPeerId, message);
				break;
			}

			case 'membership.records': {
				exchanger.noteAnswer(fromPeerId);
				break;
			}

			case 'membership.gossip': {
				break;
			}
		}
	}

	function answerRequester(fromPeerId: string, message: MembershipMessageOf<'membership.ack'>): void {
		const requesterId = relay.take(message.sequence);
		if (requesterId !== undefined) {
			send(requesterId, {
				kind: 'membership.relayed-ack', targetId: fromPeerId, targetIncarnation: message.incarnation, ...getHeader(requesterId),
			});
		}
	}

	function handlePeerMessage(fromPeerId: string, message: PeerMessage): void {
		if (isStopped || fromPeerId === ownMember.id) {
			return;
		}

		const parsed = membershipMessageSchema.safeParse(message);
		const isForged = parsed.success && 'sender' in parsed.data && parsed.data.sender.id !== fromPeerId;
		if (!parsed.success || isForged) {
			metrics.increment('peer-malformed');
			return;
		}

		handle(fromPeerId, parsed.data);
		notify();
	}

	function stop(): void {
		isStopped = true;
		gossip.stop();
		detector.stop();
		exchanger.stop();
		links.stop();
	}

	return {
		handlePeerMessage,
		noteHeard(peerId) {
			if (!isStopped) {
				noteHeard(peerId);
			}
		},
		getMembers: table.getMembers,
		getStatus: () => getMembershipStatus(table, links, seeds),
		startLeaving(onEnd) {
			const targetIds = [...getZonePeerIds(), ...links.getLinkedGatewayIds()];
			const record: MemberRecord = {...table.getOwn(), state: 'left'};
			stop();
			sayFarewell({
				record, targetIds, timers, random, peers, onEnd,
			});
		},
		stop,
	};
}
