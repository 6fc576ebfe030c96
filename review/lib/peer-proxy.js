import {connect, createServer} from 'node:net';

/**
 * Starts the proxy of the links to one daemon, through which connections can be reset. The source address of a connection
 * tells which daemon has opened it.
 */
export async function startPeerProxy({host, port, targetHost}) {
	const links = new Set();
	const server = createServer(incoming => {
		const outgoing = connect({host: targetHost, port, localAddress: incoming.remoteAddress});
		const link = {fromHost: incoming.remoteAddress, incoming, outgoing};
		links.add(link);
		for (const [socket, other] of [[incoming, outgoing], [outgoing, incoming]]) {
			socket.setNoDelay(true);
			socket.on('error', () => undefined);
			socket.on('close', () => {
				links.delete(link);
				other.destroy();
			});
			socket.pipe(other);
		}
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return {
		host,
		/** Resets both ends of the connections that a daemon has opened. Returns their number. */
		reset(fromHost) {
			const found = [...links].filter(link => link.fromHost === fromHost);
			for (const {incoming, outgoing} of found) {
				incoming.resetAndDestroy();
				outgoing.resetAndDestroy();
			}

			return found.length;
		},
		countFrom: fromHost => [...links].filter(link => link.fromHost === fromHost).length,
		getLinkCount: () => links.size,
		close() {
			server.close();
			for (const {incoming, outgoing} of links) {
				incoming.destroy();
				outgoing.destroy();
			}
		},
	};
}
