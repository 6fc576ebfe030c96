import type {EventLog, MetricSink} from '@camphortack/core';
import type {Evacuations} from '../publish/evacuation-schemas.js';

/** Holds the newest evacuations that this daemon knows. */
export type EvacuationHolder = {
	getEvacuations(): Evacuations;
	/** Finds the evacuations for a message to another daemon; undefined before the first order. */
	findEvacuations(): Evacuations | undefined;
	/** Replaces the evacuations if the given revision is higher. */
	setEvacuations(evacuations: Evacuations): void;
};

export type EvacuationHolderOptions = {
	events: EventLog;
	metrics: MetricSink;
	/** Called after each change. */
	onChange: () => void;
};

/**
 * Creates a holder without evacuated availability zones. A lower revision never replaces a higher one, so messages may be
 * lost, doubled and reordered.
 * @param options - The logs and the function to call after a change.
 */
export function createEvacuationHolder({events, metrics, onChange}: EvacuationHolderOptions): EvacuationHolder {
	let current: Evacuations = {revision: 0, availabilityZones: []};

	function logChanges({revision, availabilityZones}: Evacuations): void {
		for (const availabilityZone of availabilityZones.filter(zone => !current.availabilityZones.includes(zone))) {
			events.write('evacuation-in-force', {availabilityZone, revision});
		}

		for (const availabilityZone of current.availabilityZones.filter(zone => !availabilityZones.includes(zone))) {
			events.write('evacuation-ended', {availabilityZone, revision});
		}
	}

	return {
		getEvacuations: () => current,
		findEvacuations: () => (current.revision === 0 ? undefined : current),
		setEvacuations(evacuations) {
			if (evacuations.revision <= current.revision) {
				return;
			}

			logChanges(evacuations);
			metrics.setGauge('evacuated-zones', evacuations.availabilityZones.length);
			current = evacuations;
			onChange();
		},
	};
}
