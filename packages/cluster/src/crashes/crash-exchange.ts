import type {CrashRecord, CrashRegister} from '@camphortack/placement';
import type {ClusterOptions} from '../cluster-options.js';
import type {MemberTable} from '../members/member-table.js';

/** Exchanges the crashes of backend servers between daemons, any of which may place the tasks next. */
export type CrashExchange = {
	/** Sends a crash that the placer of this daemon has noticed to the other daemons. */
	broadcast(record: CrashRecord): void;
	/** Adds the crashes that another daemon knows of. */
	handleRecords(fromId: string, records: readonly CrashRecord[]): void;
	/** Sends all known crashes to a daemon that has just joined. */
	sendAll(memberId: string): void;
};

export type CrashExchangeOptions = Pick<ClusterOptions, 'availabilityZone' | 'isKeeper' | 'peers'> & {
	register: CrashRegister;
	members: MemberTable;
};

/** Bounds the size of a message. */
const maxRecordsPerMessage = 200;

/**
 * Creates the exchange.
 * @param options - The known crashes and the other daemons.
 */
export function createCrashExchange({availabilityZone, isKeeper, peers, register, members}: CrashExchangeOptions): CrashExchange {
	/** Passes crashes in other availability zones on, since the placer there may not send to all daemons of this one. */
	function forwardWithinZone(fromId: string, records: CrashRecord[]): void {
		if (records.length === 0 || !isKeeper || members.findMember(fromId)?.availabilityZone === availabilityZone) {
			return;
		}

		const receivers = members.getAliveMembers().filter(member => !member.isKeeper && member.availabilityZone === availabilityZone);
		peers.sendToAll(receivers.map(({id}) => id), {kind: 'cluster.crashes', records});
	}

	return {
		broadcast(record) {
			peers.sendToAll(members.getAliveMembers().map(({id}) => id), {kind: 'cluster.crashes', records: [record]});
		},
		handleRecords(fromId, records) {
			forwardWithinZone(fromId, records.filter(record => register.addRecord(record)));
		},
		sendAll(memberId) {
			const records = register.getRecords();
			for (let position = 0; position < records.length; position += maxRecordsPerMessage) {
				peers.send(memberId, {kind: 'cluster.crashes', records: records.slice(position, position + maxRecordsPerMessage)});
			}
		},
	};
}
