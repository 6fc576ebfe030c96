import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import {configurationRequestIntervalMs} from '../cluster-timings.js';
import type {ClusterMessage} from '../messages/cluster-messages.js';
import {createLatestDocument, type LatestDocument, type NumberedDocument} from './latest-document.js';

/** Holds the newest configuration, and exchanges it with the other daemons. */
export type ConfigurationExchange = LatestDocument & {
	/** Requests the configuration of a daemon whose heartbeat names a newer one, at a limited rate. */
	handleNumber(fromId: string, number: number): void;
	answerRequest(fromId: string, knownNumber: number): void;
};

export type ConfigurationExchangeOptions = {
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	send: (toId: string, message: ClusterMessage) => void;
	/** Called with each newer configuration. */
	onConfiguration: (document: NumberedDocument) => void;
};

/**
 * Creates the exchange, initially without a configuration.
 * @param options - The dependencies and the function that sends a message to a daemon.
 */
export function createConfigurationExchange({timers, events, metrics, send, onConfiguration}: ConfigurationExchangeOptions): ConfigurationExchange {
	let requestedAtMs = Number.NEGATIVE_INFINITY;
	const latestDocument = createLatestDocument(document => {
		metrics.setGauge('configuration-version', document.number);
		events.write('configuration-in-force', {version: document.number, bytes: document.content.length});
		onConfiguration(document);
	});

	return {
		...latestDocument,
		handleNumber(fromId, number) {
			const nowMs = timers.getNowMs();
			if (number > latestDocument.getNumber() && nowMs - requestedAtMs >= configurationRequestIntervalMs) {
				requestedAtMs = nowMs;
				send(fromId, {kind: 'cluster.configuration-request', knownNumber: latestDocument.getNumber()});
			}
		},
		answerRequest(fromId, knownNumber) {
			const document = latestDocument.getDocument();
			if (document !== undefined && document.number > knownNumber) {
				send(fromId, {kind: 'cluster.configuration', ...document});
			}
		},
	};
}
