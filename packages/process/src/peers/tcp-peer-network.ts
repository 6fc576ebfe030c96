import {readFileSync} from 'node:fs';
import net from 'node:net';
import tls from 'node:tls';
import {
	PeerNetwork, type EventLog, type MetricSink, type PeerMessage, type TimerService,
} from '@camphortack/core';
import {createConnectionTable, type ConnectionTable} from '../http/connection-table.js';
import type {LimitLog} from '../limits/limit-log.js';
import type {MemoryBudget, Reservation} from '../memory/memory-budget.js';
import {
	createFrameReader, defaultMaxFrameBytes, encodeFrame, FrameError, type FrameReader,
} from './frame-codec.js';
import {peerHelloSchema, peerProtocolVersion} from './peer-hello.js';

/** The address at which a daemon listens for its peers. */
export type PeerAddress = {
	id: string;
	host: string;
	port: number;
};

/** The certificate files of this daemon. If given, links use mutual TLS. */
export type PeerTlsFiles = {
	certificateFile: string;
	keyFile: string;
	authorityFile: string;
};

export type TcpPeerNetworkOptions = {
	ownId: string;
	host: string;
	port: number;
	/** The source address of outgoing connections without TLS. Defaults to the choice of the operating system. */
	localAddress?: string;
	tls?: PeerTlsFiles;
	timers: TimerService;
	metrics: MetricSink;
	events: EventLog;
	/** The bounds on what peers can make this process keep. */
	limits: PeerLimits;
	/** Handles received messages. It may be set with `setMessageHandler` instead, before listening. */
	onMessage?: (fromPeerId: string, message: PeerMessage) => void;
};

/** The bounds on the connections that peers open to a daemon. */
export type PeerLimits = {
	maxConnections: number;
	/** The memory for messages that are not complete. */
	memory: MemoryBudget;
	limitLog: LimitLog;
};

type Link = {
	socket: net.Socket;
	isConnected: boolean;
};

const helloTimeoutMs = 5000;
const reconnectDelayMs = 250;
const maxBufferedBytes = 8_388_608;
const maxBytesBeforeHello = 4096;
/** The number of connections with TLS handshakes in relation to those that are established. */
const handshakeFactor = 2;
const keepAliveProbeDelayMs = 10_000;

/**
 * A peer network over TCP, optionally with TLS. It opens one outgoing connection per peer, on the first message to it.
 * A message that cannot be sent immediately is dropped and counted, as the protocols above retry what needs delivery.
 */
export class TcpPeerNetwork extends PeerNetwork {
	readonly #options: TcpPeerNetworkOptions;
	readonly #tlsOptions: tls.TLSSocketOptions & tls.ConnectionOptions & tls.TlsOptions | undefined;
	readonly #addresses = new Map<string, PeerAddress>();
	readonly #links = new Map<string, Link>();
	readonly #reconnectNotBeforeMs = new Map<string, number>();
	readonly #inbound: ConnectionTable<net.Socket>;
	readonly #server: net.Server;
	#isClosed = false;
	#onMessage: (fromPeerId: string, message: PeerMessage) => void;

	constructor(options: TcpPeerNetworkOptions) {
		super();
		this.#options = options;
		this.#onMessage = options.onMessage ?? (() => {
			options.metrics.increment('peer-dropped');
		});
		this.#tlsOptions = options.tls && readTlsOptions(options.tls);
		this.#server = this.#createServer();
		this.#inbound = createConnectionTable({
			maxCount: options.limits.maxConnections,
			close(socket) {
				options.limits.limitLog.record('limit-peer-connections');
				socket.destroy();
			},
			endRequest: () => false,
		});
		// Connections count as open as soon as they are accepted, before a TLS handshake has ended.
		this.#server.maxConnections = options.limits.maxConnections * handshakeFactor;
	}

	/** Starts listening and returns the port, which the operating system assigns if the option is 0. */
	async listen(): Promise<number> {
		const {host, port} = this.#options;
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
		const address = this.#server.address();
		return typeof address === 'object' && address !== null ? address.port : port;
	}

	/** Replaces the handler of received messages. */
	setMessageHandler(onMessage: (fromPeerId: string, message: PeerMessage) => void): void {
		this.#onMessage = onMessage;
	}

	/** Sets the address of a peer. A changed address resets the existing link. */
	setAddress(address: PeerAddress): void {
		const known = this.#addresses.get(address.id);
		this.#addresses.set(address.id, address);
		if (known !== undefined && (known.host !== address.host || known.port !== address.port)) {
			this.resetLink(address.id);
			this.#reconnectNotBeforeMs.delete(address.id);
		}
	}

	override send(peerId: string, message: PeerMessage): void {
		if (peerId === this.#options.ownId) {
			queueMicrotask(() => {
				this.#handleMessage(peerId, message);
			});
			return;
		}

		this.#sendFrame(peerId, encodeFrame(message));
	}

	override sendToAll(peerIds: readonly string[], message: PeerMessage): void {
		const frame = encodeFrame(message);
		for (const peerId of peerIds) {
			if (peerId === this.#options.ownId) {
				this.send(peerId, message);
			} else {
				this.#sendFrame(peerId, frame);
			}
		}
	}

	/** Closes the link to a peer and discards its buffered messages. A later message opens a new link. */
	resetLink(peerId: string): void {
		const socket = this.#links.get(peerId)?.socket;
		if (socket === undefined) {
			return;
		}

		// A reset is deferred until a pending connection is established, and TLS sockets do not support it.
		if (socket.connecting || socket instanceof tls.TLSSocket) {
			socket.destroy();
		} else {
			socket.resetAndDestroy();
		}
	}

	/** Closes all links and stops listening. */
	async close(): Promise<void> {
		this.#isClosed = true;
		for (const link of this.#links.values()) {
			link.socket.end();
		}

		for (const socket of this.#inbound.getConnections()) {
			socket.destroy();
		}

		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#sendFrame(peerId: string, frame: Uint8Array): void {
		const link = this.#links.get(peerId) ?? this.#openLink(peerId);
		if (link === undefined || link.socket.writableLength > maxBufferedBytes) {
			this.#options.metrics.increment('peer-dropped');
			return;
		}

		link.socket.write(frame);
		this.#options.metrics.increment('peer-sent');
	}

	#openLink(peerId: string): Link | undefined {
		const address = this.#addresses.get(peerId);
		const nowMs = this.#options.timers.getNowMs();
		if (address === undefined || this.#isClosed || nowMs < (this.#reconnectNotBeforeMs.get(peerId) ?? 0)) {
			return undefined;
		}

		const link: Link = {socket: this.#connect(address), isConnected: false};
		this.#links.set(peerId, link);
		link.socket.setNoDelay(true);
		link.socket.setKeepAlive(true, keepAliveProbeDelayMs);
		link.socket.once(this.#tlsOptions === undefined ? 'connect' : 'secureConnect', () => {
			link.isConnected = true;
			this.#options.events.write('peer-connected', {peer: peerId});
		});
		link.socket.on('error', () => {
			// Handled by the close event, which follows.
		});
		link.socket.on('close', () => {
			this.#handleLinkClosed(peerId, link);
		});
		link.socket.resume();
		link.socket.write(encodeFrame({kind: 'peer.hello', protocolVersion: peerProtocolVersion, id: this.#options.ownId}));
		return link;
	}

	#connect({host, port}: PeerAddress): net.Socket {
		if (this.#tlsOptions === undefined) {
			return net.connect({host, port, localAddress: this.#options.localAddress});
		}

		return tls.connect({...this.#tlsOptions, host, port});
	}

	#handleLinkClosed(peerId: string, link: Link): void {
		if (this.#links.get(peerId) !== link) {
			return;
		}

		this.#links.delete(peerId);
		this.#reconnectNotBeforeMs.set(peerId, this.#options.timers.getNowMs() + reconnectDelayMs);
		if (link.isConnected && !this.#isClosed) {
			this.#options.events.write('peer-lost', {peer: peerId});
		}
	}

	#createServer(): net.Server {
		if (this.#tlsOptions === undefined) {
			return net.createServer(socket => {
				this.#acceptConnection(socket);
			});
		}

		return tls.createServer({...this.#tlsOptions, handshakeTimeout: helloTimeoutMs}, socket => {
			this.#acceptConnection(socket);
		});
	}

	#acceptConnection(socket: net.Socket): void {
		let peerId: string | undefined;
		if (!this.#inbound.add(socket)) {
			socket.destroy();
			return;
		}

		const frameMemory = this.#createFrameMemory(socket);
		const helloTimer = this.#options.timers.addTimer(helloTimeoutMs, () => {
			socket.destroy();
		});
		const reader = createFrameReader({
			maxFrameBytes: Math.min(this.#options.limits.memory.maxBytes, defaultMaxFrameBytes),
			reserve: frameMemory.reserve,
			onMessage: message => {
				if (peerId !== undefined) {
					this.#options.metrics.increment('peer-received');
					this.#handleMessage(peerId, message);
					return;
				}

				peerId = readHelloOrThrow(message);
				helloTimer.cancel();
			},
		});
		let bytesBeforeHello = 0;
		socket.setKeepAlive(true, keepAliveProbeDelayMs);
		socket.on('data', (chunk: Uint8Array) => {
			this.#readChunk(socket, reader, chunk);
			if (peerId !== undefined) {
				// The connection of a peer that is alive stays when there are too many.
				this.#inbound.setState(socket, 'idle');
			}

			bytesBeforeHello += chunk.length;
			if (peerId === undefined && bytesBeforeHello > maxBytesBeforeHello) {
				this.#rejectConnection(socket, 'too many bytes before the hello message');
			}
		});
		socket.on('error', () => {
			// Handled by the close event, which follows.
		});
		socket.on('close', () => {
			helloTimer.cancel();
			this.#inbound.remove(socket);
			frameMemory.release();
		});
	}

	/** Creates what reserves the memory of the incomplete message of a connection, which is closed when others need it. */
	#createFrameMemory(socket: net.Socket): {reserve: (sizeBytes: number) => boolean; release: () => void} {
		const {memory, limitLog} = this.#options.limits;
		let reservation: Reservation | undefined;

		function release(): void {
			reservation?.release();
			reservation = undefined;
		}

		return {
			reserve(sizeBytes) {
				if (sizeBytes === 0) {
					release();
					return true;
				}

				reservation ??= memory.reserve(0);
				reservation?.setEvictable(() => {
					limitLog.record('limit-peer-memory');
					socket.destroy();
				});
				return reservation?.resize(sizeBytes) ?? false;
			},
			release,
		};
	}

	/**
	 * Passes a message on. An error costs that message only: the protocols above send again what needs delivery. A failed write
	 * or sync is no such error, since the storage reports it to the daemon, which stops.
	 */
	#handleMessage(peerId: string, message: PeerMessage): void {
		try {
			this.#onMessage(peerId, message);
		} catch (error) {
			const reason = error instanceof Error ? error.stack ?? error.message : String(error);
			this.#options.events.write('peer-message-failed', {from: peerId, kind: message.kind, reason});
		}
	}

	#readChunk(socket: net.Socket, reader: FrameReader, chunk: Uint8Array): void {
		try {
			reader.addChunk(chunk);
		} catch (error) {
			if (!(error instanceof FrameError)) {
				throw error;
			}

			this.#rejectConnection(socket, error.message);
		}
	}

	#rejectConnection(socket: net.Socket, reason: string): void {
		this.#options.events.write('peer-frame-rejected', {address: socket.remoteAddress, reason});
		socket.destroy();
	}
}

function readHelloOrThrow(message: PeerMessage): string {
	const parsed = peerHelloSchema.safeParse(message);
	if (!parsed.success) {
		throw new FrameError('first frame is not a hello message of this protocol version');
	}

	return parsed.data.id;
}

function readTlsOptions(files: PeerTlsFiles): tls.TLSSocketOptions & tls.ConnectionOptions & tls.TlsOptions {
	return {
		cert: readFileSync(files.certificateFile),
		key: readFileSync(files.keyFile),
		ca: readFileSync(files.authorityFile),
		minVersion: 'TLSv1.3',
		requestCert: true,
		rejectUnauthorized: true,
	};
}
