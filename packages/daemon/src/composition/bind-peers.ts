import type {Container} from 'inversify';
import {createPeerLimits, TcpPeerNetwork} from '@camphortack/process';
import {createPeerRouter} from '../peers/peer-router.js';
import {getPeerTlsFiles} from './get-peer-tls-files.js';
import {tokens} from './tokens.js';

/**
 * Binds the connections to other daemons and the router of their messages.
 * @param container - The container; the infrastructure must be bound.
 */
export function bindPeers(container: Container): void {
	container.bind(tokens.peerRouter).toDynamicValue(context => createPeerRouter(context.get(tokens.metrics)));
	container.bind(tokens.peerNetwork).toDynamicValue(context => {
		const {peers, daemon} = context.get(tokens.settings);
		return new TcpPeerNetwork({
			ownId: context.get(tokens.identity).id,
			host: peers.host,
			port: peers.port,
			tls: getPeerTlsFiles(peers),
			timers: context.get(tokens.timers),
			metrics: context.get(tokens.metrics),
			events: context.get(tokens.events),
			onMessage: context.get(tokens.peerRouter).handleMessage,
			limits: createPeerLimits({memoryMb: daemon.memoryMegabytes, maxFds: daemon.maxFileDescriptors}, {
				timers: context.get(tokens.timers), events: context.get(tokens.events), metrics: context.get(tokens.metrics),
			}),
		});
	});
	container.bind(tokens.peers).toDynamicValue(context => context.get(tokens.peerNetwork));
}
