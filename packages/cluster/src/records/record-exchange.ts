import type {BackendServerDescription, PlacementMessage, PlacementMessageOf} from '@camphortack/placement';
import {isSameView, type PlacerView} from '../election/placer-view.js';
import type {ServerRegistry} from '../registry/server-registry.js';
import type {EarlierRecords} from './earlier-records.js';
import type {ServerRecords} from './server-records.js';

/** Exchanges the records of backend servers between entry daemons and placers. */
export type RecordExchange = {
	/** Handles a message about records, unless it is one to the placer that sent them. Returns false if it is of another kind. */
	handleMessage(fromId: string, message: PlacementMessage): boolean;
};

export type RecordExchangeOptions = {
	/** The start of this process. */
	ownIncarnation: string;
	records: ServerRecords;
	earlierRecords: EarlierRecords;
	registry: ServerRegistry;
	/** Gets the placer of a shard that this daemon follows. */
	getPlacerView: (shard: string) => PlacerView;
	/** Sends a message to a daemon, relayed if necessary. */
	send: (toId: string, message: PlacementMessage) => void;
};

/**
 * Creates the exchange.
 * @param options - The records of this daemon, and those that others have handed over to it.
 *
 * @example
 * ```ts
 * const exchange = createRecordExchange(options);
 * exchange.handleMessage('10.3.0.40', {kind: 'placement.record-request', digest}); // true: the record was sent
 * ```
 */
export function createRecordExchange({ownIncarnation, records, earlierRecords, registry, getPlacerView, send}: RecordExchangeOptions): RecordExchange {
	/**
	 * A placer that this daemon no longer follows gets no acknowledgement: the record was handed over to the next one, which would not
	 * learn of a backend server that is added now.
	 */
	function recordServers(fromId: string, message: PlacementMessageOf<'placement.record-servers'>): void {
		const {shard, term, incarnation, listNumber} = message;
		if (isSameView(getPlacerView(shard), {term, placerId: fromId})) {
			const isComplete = records.addServers(fromId, message);
			send(fromId, {
				kind: 'placement.servers-recorded', term, placerIncarnation: incarnation, incarnation: ownIncarnation, listNumber: isComplete ? listNumber : 0,
			});
		}
	}

	/** Gets the newest description of a recorded incarnation. One that the registry does not list may have left, and gets no new tasks. */
	function getCurrentDescription(recorded: BackendServerDescription): BackendServerDescription {
		const current = registry.findDescription(recorded.id);
		return current?.bornMs === recorded.bornMs ? current : {...recorded, state: 'draining'};
	}

	return {
		handleMessage(fromId, message) {
			switch (message.kind) {
				case 'placement.record-servers': {
					recordServers(fromId, message);
					return true;
				}

				case 'placement.record-request': {
					const servers = records.findServers(message.digest);
					if (servers !== undefined) {
						send(fromId, {kind: 'placement.record', digest: message.digest, descriptions: servers.map(server => getCurrentDescription(server))});
					}

					return true;
				}

				case 'placement.record': {
					earlierRecords.addRecord(fromId, message);
					return true;
				}

				case 'placement.submit':
				case 'placement.result':
				case 'placement.not-begun':
				case 'placement.cancel':
				case 'placement.cancelled':
				case 'placement.open-jobs':
				case 'placement.unknown-jobs':
				case 'placement.servers-recorded': {
					return false;
				}
			}
		},
	};
}
