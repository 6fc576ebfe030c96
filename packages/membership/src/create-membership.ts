import type {
	Member, MetricSink, PeerMessage, PeerNetwork, RandomSource, TimerService,
} from '@camphortack/core';
import {createFailureDetector} from './detection/failure-detector.js';
import {createUpdateQueue} from './detection/update-queue.js';
import {createMemberTable, isLive} from './members/member-table.js';
import {
	membershipMessageSchema, type MemberRecord, type MembershipMessage, type Updates, type ZoneRecord,
} from './messages/membership-messages.js';
import {shuffle} from './utils/shuffle.js';
import {createZoneGateway} from './zones/zone-gateway.js';

/** Keeps the list of live daemons of all availability zones. */
export type Membership = {
	/** Handles a peer message whose kind starts with `membership.`. A malformed one is counted and dropped. */
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	/** Gets the live daemons of all availability zones that can be heard, this one included. */
	getMembers(): readonly Member[];
	getMalformedCount(): number;
	/** Says farewell before a planned stop. */
	startLeaving(): void;
	stop(): void;
};

export type MembershipOptions = {
	ownMember: Member;
	/** The daemons that the settings name; their incarnations are not known. */
	seeds: readonly Member[];
	timers: TimerService;
	random: RandomSource;
	metrics: MetricSink;
	peers: PeerNetwork;
	/** Called after each change, before any message goes to a new member. */
	onMembersChanged: (members: readonly Member[]) => void;
};

/** Daemons that are not heard yet are asked again at this interval. */
const joinIntervalMs = 1000;
/** After this many times they are asked only once in ten intervals. */
const eagerJoins = 30;
/** The seeds that are asked at a time. */
const seedsPerJoin = 3;
const recordsPerMessage = 150;
/** A change is passed on at once to this many daemons, besides travelling with later messages. */
const eagerSends = 3;
/** More changes than this at once are an answer to a question, which others ask for themselves. */
const mostEagerChanges = 6;
/** Another table is asked for at most this often. */
const catchUpIntervalMs = 3000;

/**
 * Creates the membership of one daemon and starts it.
 *
 * @example
 * ```ts
 * const membership = createMembership({ownMember, seeds, timers, random, metrics, peers, onMembersChanged(members) {
 * 	dispatcher.setMembers(members);
 * }});
 * ```
 */
export function createMembership(options: MembershipOptions): Membership {
	const {ownMember, seeds, timers, random, metrics, peers, onMembersChanged} = options;
	const {id: ownId, availabilityZone: zone} = ownMember;
	const table = createMemberTable(timers);
	const updates = createUpdateQueue();
	const shared = {
		ownId,
		zone,
		timers,
		random,
		table,
		send,
	};
	const detector = createFailureDetector({...shared, takeUpdates, onVerdict});
	const gateway = createZoneGateway({...shared, onRecords: takeRecords, onZoneRecord: takeZoneRecord});
	let ownRecord: MemberRecord = {
		...ownMember,
		roles: [...ownMember.roles],
		counter: 0,
		state: 'alive',
	};
	let isLeaving = false;
	let malformedCount = 0;
	let published = '';
	let joinCount = 0;
	let differsSinceMs = timers.getNowMs();
	table.addRecord(ownRecord);
	const joins = timers.addInterval(joinIntervalMs, join);
	timers.addTimer(0, () => {
		join();
		publish();
	});

	function send(peerId: string, message: MembershipMessage): void {
		if (peerId !== ownId) {
			peers.send(peerId, message);
		}
	}

	/** Goes on with every seed that is not known to live, as after a partition that parted all. */
	function join(): void {
		if (++joinCount > eagerJoins && joinCount % 10 !== 0) {
			return;
		}

		const missing = seeds.filter(({id}) => id !== ownId && !isKnownLive(id));
		const start = missing.length <= seedsPerJoin ? 0 : random.getInteger(0, missing.length - 1);
		for (let index = 0; index < Math.min(seedsPerJoin, missing.length); index++) {
			const seed = missing[(start + index) % missing.length]!;
			send(seed.id, {kind: 'membership.join', member: ownRecord});
		}
	}

	function isKnownLive(id: string): boolean {
		const record = table.findRecord(id);
		return record !== undefined && isLive(record);
	}

	/** A daemon about which something bad is known is told, so that it can refute it. */
	function takeUpdates(peerId: string): Updates {
		const taken = updates.takeUpdates(table.getLive(zone).length);
		const record = table.findRecord(peerId);
		const isTold = record === undefined || record.state === 'alive' || taken.members.some(member => member.id === peerId);
		return isTold ? taken : {...taken, members: [...taken.members, record]};
	}

	function onVerdict(record: MemberRecord, state: 'suspected' | 'dead'): void {
		if (state === 'suspected') {
			metrics.increment('membership-suspected');
		}

		takeRecords([{...record, state}]);
	}

	function takeRecords(records: readonly MemberRecord[]): void {
		const changed: MemberRecord[] = [];
		for (const record of records) {
			if (record.id === ownId) {
				refute(record);
			} else if (table.addRecord(record)) {
				changed.push(record);
				updates.addMember(record);
			}
		}

		publish();
		for (const record of changed) {
			detector.handleChange(record);
		}

		sendAtOnce(changed);
	}

	function sendAtOnce(changed: readonly MemberRecord[]): void {
		if (changed.length === 0 || changed.length > mostEagerChanges) {
			return;
		}

		const live = table.getLive(zone).filter(record => record.id !== ownId);
		for (const {id} of shuffle(live, random).slice(0, eagerSends)) {
			send(id, {kind: 'membership.updates', updates: {members: [...changed], zones: []}});
		}
	}

	/** Asks for the whole table where a neighbour's differs for no reason that is under way. */
	function catchUp(fromPeerId: string, digest: number): void {
		const nowMs = timers.getNowMs();
		if (digest === table.getDigest()) {
			differsSinceMs = nowMs;
		} else if (nowMs >= differsSinceMs + catchUpIntervalMs) {
			differsSinceMs = nowMs;
			send(fromPeerId, {kind: 'membership.join', member: ownRecord});
		}
	}

	/** Answers what is said of this daemon, or of an earlier process at its place. */
	function refute(record: MemberRecord): void {
		const isOwnWord = record.incarnation === ownRecord.incarnation && record.state === ownRecord.state;
		if (isOwnWord || record.counter < ownRecord.counter || isLeaving) {
			return;
		}

		setOwnRecord({...ownRecord, counter: record.counter + 1});
	}

	function setOwnRecord(record: MemberRecord): void {
		ownRecord = record;
		table.addRecord(record);
		updates.addMember(record);
		sendAtOnce([record]);
	}

	function takeZoneRecord(record: ZoneRecord): void {
		if (record.zone !== zone && table.addZoneRecord(record)) {
			updates.addZone(record);
			publish();
		}
	}

	function getMembers(): readonly Member[] {
		const hidden = new Set(table.getZoneRecords().filter(record => !record.isVisible).map(record => record.zone));
		const live = table.getAll().filter(record => isLive(record) && !hidden.has(record.availabilityZone));
		return live.map(record => getMember(record)).toSorted((left, right) => left.id < right.id ? -1 : 1);
	}

	function publish(): void {
		const members = getMembers();
		const text = members.map(({id, incarnation}) => `${id} ${incarnation}`).join('\n');
		if (text !== published) {
			published = text;
			onMembersChanged(members);
		}
	}

	function handlePeerMessage(fromPeerId: string, message: PeerMessage): void {
		const parsed = membershipMessageSchema.safeParse(message);
		if (!parsed.success) {
			malformedCount++;
			return;
		}

		if ('updates' in parsed.data) {
			takeUpdatesIn(parsed.data.updates);
		}

		handleMessage(fromPeerId, parsed.data);
	}

	function takeUpdatesIn({members, zones}: Updates): void {
		takeRecords(members);
		for (const record of zones) {
			takeZoneRecord(record);
		}
	}

	function handleMessage(fromPeerId: string, message: MembershipMessage): void {
		switch (message.kind) {
			case 'membership.ping': {
				detector.handlePing(fromPeerId, message.sequence);
				catchUp(fromPeerId, message.digest);
				break;
			}

			case 'membership.ack': {
				detector.handleAck(message.sequence);
				break;
			}

			case 'membership.ping-request': {
				detector.handlePingRequest(fromPeerId, message.sequence, message.targetId);
				break;
			}

			case 'membership.join': {
				answerJoin(fromPeerId, message.member);
				break;
			}

			case 'membership.updates': {
				break;
			}

			case 'membership.zone-summary': {
				gateway.handleSummary(fromPeerId, message);
				break;
			}

			case 'membership.zone-summary-received': {
				gateway.handleSummaryReceived(message);
				break;
			}
		}
	}

	function answerJoin(fromPeerId: string, member: MemberRecord): void {
		takeRecords([member]);
		const records = table.getAll();
		for (let start = 0; start < records.length; start += recordsPerMessage) {
			send(fromPeerId, {
				kind: 'membership.updates',
				updates: {members: records.slice(start, start + recordsPerMessage), zones: start === 0 ? table.getZoneRecords() : []},
			});
		}
	}

	function startLeaving(): void {
		isLeaving = true;
		setOwnRecord({...ownRecord, counter: ownRecord.counter + 1, state: 'left'});
		for (const {id} of table.getLive(zone)) {
			send(id, {kind: 'membership.updates', updates: {members: [ownRecord], zones: []}});
		}
	}

	return {
		handlePeerMessage,
		getMembers,
		getMalformedCount: () => malformedCount,
		startLeaving,
		stop() {
			joins.cancel();
			detector.stop();
			gateway.stop();
		},
	};
}

function getMember({id, incarnation, availabilityZone, roles, host, peerPort}: MemberRecord): Member {
	return {
		id,
		incarnation,
		availabilityZone,
		roles,
		host,
		peerPort,
	};
}
