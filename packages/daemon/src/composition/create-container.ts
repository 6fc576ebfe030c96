import 'reflect-metadata';
import type {Settings} from '@camphortack/configuration';
import {createDispatcher} from '@camphortack/dispatch';
import {Container} from 'inversify';
import {HttpTaskStarter} from '../backend/http-task-starter.js';
import {createLocalConfigurationDesk} from '../configuration/create-local-configuration-desk.js';
import {createJobService} from '../jobs/job-service.js';
import {createUnlimitedLimitBook} from '../limits/create-unlimited-limit-book.js';
import {DebugEventLog} from '../logs/debug-event-log.js';
import {CountingMetricSink} from '../metrics/counting-metric-sink.js';
import {StatsdMetricSink} from '../metrics/statsd-metric-sink.js';
import {createPeerRouter} from '../peers/peer-router.js';
import {TcpPeerNetwork} from '../peers/tcp-peer-network.js';
import {createProcessRandomSource} from '../random/create-process-random-source.js';
import {SystemTimers} from '../time/system-timers.js';
import {getPeerTlsFiles} from './get-peer-tls-files.js';
import {tokens} from './tokens.js';

/**
 * Creates the container of one daemon: the one place where the parts are wired together.
 * @param settings - The daemon's settings.
 */
export function createContainer(settings: Settings): Container {
	const container = new Container({defaultScope: 'Singleton'});
	container.bind(tokens.settings).toConstantValue(settings);
	bindSources(container);
	bindPeers(container);
	bindDispatch(container);
	bindConfiguration(container);
	bindJobs(container);
	return container;
}

function bindSources(container: Container): void {
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

function bindPeers(container: Container): void {
	container.bind(tokens.peerRouter).toDynamicValue(context => createPeerRouter(context.get(tokens.metrics)));
	container.bind(tokens.peerNetwork).toDynamicValue(context => {
		const {peers} = context.get(tokens.settings);
		return new TcpPeerNetwork({
			ownId: context.get(tokens.identity).id,
			host: peers.host,
			port: peers.port,
			tls: getPeerTlsFiles(peers),
			timers: context.get(tokens.timers),
			metrics: context.get(tokens.metrics),
			events: context.get(tokens.events),
			onMessage: context.get(tokens.peerRouter).handleMessage,
		});
	});
	container.bind(tokens.peers).toDynamicValue(context => context.get(tokens.peerNetwork));
}

function bindDispatch(container: Container): void {
	container.bind(tokens.limits).toDynamicValue(() => createUnlimitedLimitBook());
	container.bind(tokens.taskStarter).toDynamicValue(context => new HttpTaskStarter(event => {
		container.get(tokens.dispatcher).handleTaskEvent(event);
	}));
	container.bind(tokens.dispatcher).toDynamicValue(context => {
		const {id, incarnation, availabilityZone} = context.get(tokens.identity);
		return createDispatcher({
			ownId: id,
			incarnation,
			availabilityZone,
			timers: context.get(tokens.timers),
			random: context.get(tokens.random),
			metrics: context.get(tokens.metrics),
			events: context.get(tokens.events),
			peers: context.get(tokens.peers),
			starter: context.get(tokens.taskStarter),
			limits: context.get(tokens.limits),
		});
	});
}

function bindConfiguration(container: Container): void {
	container.bind(tokens.configurationDesk).toDynamicValue(context => {
		const dispatcher = context.get(tokens.dispatcher);
		const events = context.get(tokens.events);
		return createLocalConfigurationDesk(configuration => {
			dispatcher.setConfiguration(configuration);
			events.write('configuration-in-force', {version: configuration.version});
		});
	});
}

function bindJobs(container: Container): void {
	container.bind(tokens.jobs).toDynamicValue(context => {
		const random = context.get(tokens.random);
		return createJobService({
			ownId: context.get(tokens.identity).id,
			createIdentifier: () => random.getIdentifier(),
			timers: context.get(tokens.timers),
			metrics: context.get(tokens.metrics),
			dispatcher: context.get(tokens.dispatcher),
			hasConfiguration: () => container.get(tokens.configurationDesk).findConfiguration() !== undefined,
		});
	});
}
