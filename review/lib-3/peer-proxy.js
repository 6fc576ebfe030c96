// A TCP proxy in front of the peer port of one daemon. While a link is cut, its bytes are held, as behind a partition.
import {connect, createServer} from 'node:net';

/**
 * Starts a proxy.
 * @param {object} options - The address that the others connect to, that of the daemon, and whether the link from an address is cut.
 */
export async function startPeerProxy({host, port, targetHost, isCut}) {
	const links = new Set();
	const server = createServer(inbound => {
		const outbound = connect({host: targetHost, port});
		const link = {from: inbound.remoteAddress, inbound, outbound};
		links.add(link);
		inbound.on('data', chunk => {
			outbound.write(chunk);
		});
		outbound.on('data', chunk => {
			inbound.write(chunk);
		});
		for (const [socket, other] of [[inbound, outbound], [outbound, inbound]]) {
			socket.setNoDelay(true);
			socket.on('error', () => {
				// The close event follows.
			});
			socket.once('close', () => {
				links.delete(link);
				other.destroy();
			});
		}

		apply(link);
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});

	function apply({from, inbound, outbound}) {
		for (const socket of [inbound, outbound]) {
			if (isCut(from, host)) {
				socket.pause();
			} else {
				socket.resume();
			}
		}
	}

	return {
		update() {
			for (const link of links) {
				apply(link);
			}
		},
		stop() {
			server.close();
			for (const {inbound, outbound} of links) {
				inbound.destroy();
				outbound.destroy();
			}
		},
	};
}
