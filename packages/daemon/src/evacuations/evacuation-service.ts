import type {EvacuationClient, EvacuationOrderResult, Evacuations} from '@camphortack/consensus';
import type {EventLog} from '@camphortack/core';

/** The answer to an order of an operator. */
export type EvacuationAnswer = EvacuationOrderResult | {outcome: 'unknown-zone'; knownZones: string[]};

/** Lets operators evacuate availability zones. */
export type EvacuationService = {
	/**
	 * Orders an evacuation, or withdraws it if `isEvacuated` is false. Calls back once, within a bounded time. Nothing more is
	 * sent once `isWanted` returns false.
	 */
	setEvacuation(availabilityZone: string, isEvacuated: boolean, onAnswer: (answer: EvacuationAnswer) => void, isWanted: () => boolean): void;
};

export type EvacuationServiceOptions = {
	client: Pick<EvacuationClient, 'setEvacuation'>;
	events: EventLog;
	getEvacuations: () => Evacuations;
	/** Gets the availability zones of all daemons and backend servers that this daemon knows, also of those that are down. */
	getZones: () => string[];
};

/**
 * Creates the service. An availability zone that nobody knows is refused, so that a misspelt name is not stored; one that
 * is evacuated is always known, so that the evacuation can be withdrawn.
 * @param options - The components that it depends on.
 */
export function createEvacuationService({client, events, getEvacuations, getZones}: EvacuationServiceOptions): EvacuationService {
	return {
		setEvacuation(availabilityZone, isEvacuated, onAnswer, isWanted) {
			const knownZones = [...new Set([...getZones(), ...getEvacuations().availabilityZones])].toSorted();
			if (!knownZones.includes(availabilityZone)) {
				onAnswer({outcome: 'unknown-zone', knownZones});
				return;
			}

			events.write('evacuation-ordered', {availabilityZone, isEvacuated});
			client.setEvacuation(availabilityZone, isEvacuated, result => {
				const revision = result.outcome === 'stored' ? result.revision : undefined;
				const daemonIds = result.outcome === 'unconfirmed' ? result.daemonIds.join(' ') : undefined;
				events.write('evacuation-answered', {
					availabilityZone, isEvacuated, outcome: result.outcome, revision, daemonIds,
				});
				onAnswer(result);
			}, isWanted);
		},
	};
}
