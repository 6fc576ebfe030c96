import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import {evacuationRequestIntervalMs} from '../cluster-timings.js';
import type {ClusterMessage} from '../messages/cluster-messages.js';
import type {Evacuations} from './evacuations.js';

/** Holds the newest evacuations that this daemon knows, and exchanges them with the other daemons. */
export type EvacuationExchange = {
	getEvacuations(): Evacuations;
	/** Replaces the evacuations if the given revision is higher. */
	setEvacuations(evacuations: Evacuations): void;
	isEvacuated(availabilityZone: string): boolean;
	/** Gets for how long this daemon has known that an availability zone is evacuated; undefined if it is not. */
	findEvacuatedMs(availabilityZone: string): number | undefined;
	/** Gets the revision for heartbeats; 0 before the first order. */
	getRevision(): number;
	/** Requests the evacuations of a daemon whose heartbeat names a higher revision, at a limited rate. */
	handleRevision(fromId: string, revision: number | undefined): void;
	answerRequest(fromId: string, knownRevision: number): void;
};

export type EvacuationExchangeOptions = {
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	send: (toId: string, message: ClusterMessage) => void;
	/** Called after each change. */
	onChange: () => void;
};

/**
 * Creates the exchange, initially without evacuated availability zones.
 * @param options - The dependencies and the function that sends a message to a daemon.
 */
export function createEvacuationExchange({timers, events, metrics, send, onChange}: EvacuationExchangeOptions): EvacuationExchange {
	let current: Evacuations = {revision: 0, availabilityZones: []};
	/** Since when this daemon has known of the evacuation of each zone. */
	let evacuatedSinceMs = new Map<string, number>();
	let requestedAtMs = Number.NEGATIVE_INFINITY;

	function logChanges({revision, availabilityZones}: Evacuations): void {
		for (const availabilityZone of availabilityZones.filter(zone => !evacuatedSinceMs.has(zone))) {
			events.write('evacuation-in-force', {availabilityZone, revision});
		}

		for (const availabilityZone of [...evacuatedSinceMs.keys()].filter(zone => !availabilityZones.includes(zone))) {
			events.write('evacuation-ended', {availabilityZone, revision});
		}
	}

	return {
		getEvacuations: () => current,
		setEvacuations(evacuations) {
			if (evacuations.revision <= current.revision) {
				return;
			}

			logChanges(evacuations);
			metrics.setGauge('evacuated-zones', evacuations.availabilityZones.length);
			current = evacuations;
			evacuatedSinceMs = new Map(evacuations.availabilityZones.map(zone => [zone, evacuatedSinceMs.get(zone) ?? timers.getNowMs()]));
			onChange();
		},
		isEvacuated: availabilityZone => evacuatedSinceMs.has(availabilityZone),
		findEvacuatedMs(availabilityZone) {
			const sinceMs = evacuatedSinceMs.get(availabilityZone);
			return sinceMs === undefined ? undefined : timers.getNowMs() - sinceMs;
		},
		getRevision: () => current.revision,
		handleRevision(fromId, revision = 0) {
			const nowMs = timers.getNowMs();
			if (revision > current.revision && nowMs - requestedAtMs >= evacuationRequestIntervalMs) {
				requestedAtMs = nowMs;
				send(fromId, {kind: 'cluster.evacuations-request', knownRevision: current.revision});
			}
		},
		answerRequest(fromId, knownRevision) {
			if (current.revision > knownRevision) {
				send(fromId, {kind: 'cluster.evacuations', ...current});
			}
		},
	};
}
