import {createBadRowLog, parseWithoutBadRows, type PeerMessage} from '@camphortack/core';
import {createFailureDetector} from './detection/failure-detector.js';
import {createPingRelay} from './detection/ping-relay.js';
import {createAntiEntropy} from './exchange/anti-entropy.js';
import {createGossip} from './gossip/gossip.js';
import {announceLeave} from './leave/announce-leave.js';
import {getMembershipStatus} from './get-membership-status.js';
import type {Membership, MembershipOptions} from './membership.js';
import {createRecordMerger} from './merge/record-merger.js';
import {
	membershipMessageSchema, maxRecordsPerMessage, tolerantLists, type MembershipMessage, type MembershipMessageOf,
} from './messages/membership-messages.js';
import {isLive, type MemberRecord} from './table/member-record.js';
import {createMemberTable} from './table/member-table.js';
import {createZoneLinks} from './zones/zone-links.js';

/** If a transfer changes more records than this, the daemon schedules exchanges instead of gossiping each record. */
const maxGossipedRecords = 10;

/**
 * Creates the membership of one daemon and starts to join the cluster.
 * @param options - This daemon, its seeds, its adapters and its callbacks.
 *
 * @example
 * ```ts
 * const membership = createMembership({ownMember, seeds, peers, timers, random, metrics, events, onMembersChanged, onAddress});
 * router.addHandler('membership', membership.handlePeerMessage);
 * ```
 */
export function createMembership(options: MembershipOptions): Membership {
	const {ownMember, peers, timers, random, metrics, events} = options;
	const seeds = options.seeds.filter(seed => seed.id !== ownMember.id);
	const ownZone = ownMember.availabilityZone;
	const relay = createPingRelay(timers);
	const badRowLog = createBadRowLog({timers, events, metrics});
	let sequence = 0;
	let notifiedVersion = 0;
	let isStopped = false;

	const table = createMemberTable({
		ownRecord: {
			...ownMember, roles: [...ownMember.roles], counter: 0, state: 'alive',
		},
		timers,
		onChange(record, previous) {
			handleRecordChange(record, previous);
		},
	});
	for (const {id, host, port} of seeds) {
		options.onAddress({id, host, port});
	}

	notifyIfChanged();
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
		onStateDetected(record) {
			metrics.increment(record.state === 'suspect' ? 'membership-suspected' : 'membership-declared-dead');
			merger.mergeDetected(record);
			notifyIfChanged();
		},
	});
	const merger = createRecordMerger({
		table, gossip, detector, metrics,
	});
	const antiEntropy = createAntiEntropy({
		table, seeds, timers, random, send, sendRecords,
	});
	const links = createZoneLinks({
		table,
		seeds,
		timers,
		random,
		events,
		send,
		requestZone: antiEntropy.requestZone,
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

	/**
	 * Gets the sender fields and piggybacked updates of a message. A receiver that is not alive in the member table also
	 * gets its own record, so that it can refute it.
	 */
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
		let observations = table.findRecord(peerId)?.availabilityZone === ownZone ? links.getObservations().slice(0, maxRecordsPerMessage) : [];
		for (let start = 0; start < records.length; start += maxRecordsPerMessage) {
			send(peerId, {
				kind: 'membership.records', incarnation, counter, records: records.slice(start, start + maxRecordsPerMessage), observations,
			});
			observations = [];
		}
	}

	function handleRecordChange(record: MemberRecord, previous: MemberRecord | undefined): void {
		const {id, host, peerPort} = record;
		if (id === ownMember.id) {
			return;
		}

		if (previous?.host !== host || previous.peerPort !== peerPort) {
			options.onAddress({id, host, port: peerPort});
		}

		if (record.state === 'alive') {
			detector.recordReceived(id);
		}

		const wasLive = previous !== undefined && isLive(previous);
		if (wasLive !== isLive(record)) {
			events.write(isLive(record) ? 'member-joined' : 'member-lost', {peer: id, availabilityZone: record.availabilityZone, state: record.state});
		}
	}

	function notifyIfChanged(): void {
		if (table.getVersion() !== notifiedVersion) {
			notifiedVersion = table.getVersion();
			options.onMembersChanged(table.getMembers());
		}
	}

	/** Starts an exchange with a sender of unknown incarnation. A known sender with a higher counter has refuted its state. */
	function checkSender(fromPeerId: string, incarnation: string, counter: number): void {
		const known = table.findRecord(fromPeerId);
		if (known?.incarnation !== incarnation) {
			antiEntropy.startExchange(fromPeerId);
		} else if (counter > known.counter) {
			merger.mergeRecord({...known, counter, state: 'alive'}, fromPeerId);
		}
	}

	function recordReceived(peerId: string): void {
		detector.recordReceived(peerId);
		links.recordReceived(peerId);
	}

	function handleSender(fromPeerId: string, sender: MemberRecord): void {
		options.onAddress({id: sender.id, host: sender.host, port: sender.peerPort});
		if (!merger.mergeRecord(sender, fromPeerId)) {
			checkSender(fromPeerId, sender.incarnation, sender.counter);
		}
	}

	function applyUpdates(fromPeerId: string, message: Exclude<MembershipMessage, {sender: MemberRecord}>): void {
		const isTransfer = message.kind === 'membership.records';
		if (isTransfer) {
			const changed = message.records.filter(record => merger.mergeTransferred(record));
			if (changed.length > maxGossipedRecords) {
				antiEntropy.scheduleExchange();
			} else {
				merger.disseminate(changed, fromPeerId);
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

	function handleMessage(fromPeerId: string, message: MembershipMessage): void {
		if ('sender' in message) {
			handleSender(fromPeerId, message.sender);
		} else {
			checkSender(fromPeerId, message.incarnation, message.counter);
			applyUpdates(fromPeerId, message);
		}

		recordReceived(fromPeerId);
		reply(fromPeerId, message);
	}

	function reply(fromPeerId: string, message: MembershipMessage): void {
		switch (message.kind) {
			case 'membership.ping': {
				send(fromPeerId, {kind: 'membership.ack', sequence: message.sequence, ...getHeader(fromPeerId)});
				break;
			}

			case 'membership.ack': {
				relayAck(fromPeerId, message);
				break;
			}

			case 'membership.ping-request': {
				const relayedSequence = getNextSequence();
				relay.add(relayedSequence, fromPeerId);
				send(message.targetId, {kind: 'membership.ping', sequence: relayedSequence, ...getHeader(message.targetId)});
				break;
			}

			case 'membership.relayed-ack': {
				if (table.findRecord(message.targetId)?.incarnation === message.targetIncarnation) {
					detector.recordReceived(message.targetId);
				}

				break;
			}

			case 'membership.exchange': {
				antiEntropy.recordReply(fromPeerId);
				antiEntropy.handleExchange(fromPeerId, message);
				break;
			}

			case 'membership.summary': {
				links.handleSummary(fromPeerId, message);
				break;
			}

			case 'membership.records': {
				antiEntropy.recordReply(fromPeerId);
				break;
			}

			case 'membership.gossip': {
				break;
			}
		}
	}

	function relayAck(fromPeerId: string, message: MembershipMessageOf<'membership.ack'>): void {
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

		const parsed = parseWithoutBadRows(membershipMessageSchema, message, tolerantLists);
		const isForged = parsed.success && 'sender' in parsed.data && parsed.data.sender.id !== fromPeerId;
		if (!parsed.success || isForged) {
			metrics.increment('peer-malformed');
			return;
		}

		badRowLog.report({from: fromPeerId, kind: message.kind}, parsed.badRows);
		handleMessage(fromPeerId, parsed.data);
		notifyIfChanged();
	}

	function stop(): void {
		isStopped = true;
		gossip.stop();
		detector.stop();
		antiEntropy.stop();
		links.stop();
	}

	return {
		handlePeerMessage,
		recordReceived(peerId) {
			if (!isStopped) {
				recordReceived(peerId);
			}
		},
		getMembers: table.getMembers,
		getStatus: () => getMembershipStatus(table, links, seeds),
		startLeaving(onEnd) {
			const targetIds = [...getZonePeerIds(), ...links.getLinkedGatewayIds()];
			const record: MemberRecord = {...table.getOwn(), state: 'left'};
			stop();
			announceLeave({
				record, targetIds, timers, random, peers, onEnd,
			});
		},
		stop,
	};
}
