import type {MemberRecord, Updates, ZoneRecord} from '../messages/membership-messages.js';

/** Changes that are passed on with other messages, each a bounded number of times. */
export type UpdateQueue = {
	addMember(record: MemberRecord): void;
	addZone(record: ZoneRecord): void;
	/** Takes what goes with the next message. */
	takeUpdates(liveMembers: number): Updates;
};

type Entry<T> = {
	readonly value: T;
	sends: number;
};

const mostPerMessage = 6;
/** How many times a change is passed on, for each doubling of the number of daemons. */
const sendsPerDoubling = 1;

/** Creates an empty queue. A newer change of the same daemon replaces the one before. */
export function createUpdateQueue(): UpdateQueue {
	const members = new Map<string, Entry<MemberRecord>>();
	const zones = new Map<string, Entry<ZoneRecord>>();

	return {
		addMember(record) {
			members.delete(record.id);
			members.set(record.id, {value: record, sends: 0});
		},
		addZone(record) {
			zones.delete(record.zone);
			zones.set(record.zone, {value: record, sends: 0});
		},
		takeUpdates(liveMembers) {
			const mostSends = Math.ceil(sendsPerDoubling * Math.log2(liveMembers + 1));
			return {members: takeEntries(members, mostSends), zones: takeEntries(zones, mostSends)};
		},
	};
}

/** Takes the first entries and puts them last, until each was sent often enough. */
function takeEntries<T>(entries: Map<string, Entry<T>>, mostSends: number): T[] {
	const taken = [...entries].slice(0, mostPerMessage);
	for (const [key, entry] of taken) {
		entry.sends++;
		entries.delete(key);
		if (entry.sends < mostSends) {
			entries.set(key, entry);
		}
	}

	return taken.map(([, entry]) => entry.value);
}
