import type {Container} from 'inversify';
import {createProcessRandomSource, SystemTimers} from '@camphortack/process';
import {DebugEventLog} from '../logs/debug-event-log.js';
import {CountingMetricSink} from '../metrics/counting-metric-sink.js';
import {StatsdMetricSink} from '../metrics/statsd-metric-sink.js';
import {tokens} from './tokens.js';

/**
 * Binds the timers, random source, event log, metrics and identity of the daemon.
 * @param container - The container; the settings must be bound.
 */
export function bindInfrastructure(container: Container): void {
	container.bind(tokens.timers).toDynamicValue(() => new SystemTimers());
	container.bind(tokens.random).toDynamicValue(() => createProcessRandomSource());
	container.bind(tokens.events).toDynamicValue(() => new DebugEventLog());
	container.bind(tokens.metrics).toDynamicValue(context => {
		const {host, port, prefix} = context.get(tokens.settings).metrics;
		return new CountingMetricSink(host === undefined ? undefined : new StatsdMetricSink({host, port, prefix}));
	});
	container.bind(tokens.identity).toDynamicValue(context => {
		const {id, availabilityZone} = context.get(tokens.settings).daemon;
		return {id, availabilityZone, incarnation: context.get(tokens.random).getIdentifier()};
	});
}
