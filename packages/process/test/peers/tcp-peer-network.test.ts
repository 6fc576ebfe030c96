import assert from 'node:assert/strict';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {connect, type Socket} from 'node:net';
import {
	after, afterEach, before, describe, it,
} from 'node:test';
import {setImmediate as yieldToEventLoop} from 'node:timers/promises';
import type {PeerMessage} from '@camphortack/core';
import {RecordingEventLog, RecordingMetricSink} from '@camphortack/testkit';
import {
	createPeerLimits, SystemTimers, TcpPeerNetwork, type PeerTlsFiles,
} from '../../src/index.js';
import {createCertificateAuthority} from '../support/create-certificate-authority.js';

const host = '127.0.0.1';
const message: PeerMessage = {kind: 'test.message'};
/** Enough for 32 connections. */
const resources = {memoryMb: 64, maxFds: 256};

describe('TcpPeerNetwork', () => {
	const folder = mkdtempSync(join(tmpdir(), 'camphortack-peers-'));
	const networks: TcpPeerNetwork[] = [];
	const timers = new SystemTimers();
	const files = new Map<string, PeerTlsFiles>();

	before(async () => {
		for (const name of ['own', 'foreign']) {
			// eslint-disable-next-line no-await-in-loop
			const authority = await createCertificateAuthority(name);
			// eslint-disable-next-line no-await-in-loop
			files.set(name, await authority.writeFiles(folder, host));
		}
	});

	afterEach(async () => {
		await Promise.all(networks.splice(0).map(async network => network.close()));
		timers.cancelAll();
	});

	after(() => {
		rmSync(folder, {recursive: true});
	});

	function createNetwork(ownId: string, tls: PeerTlsFiles | undefined, onMessage?: (fromPeerId: string, message: PeerMessage) => void) {
		const metrics = new RecordingMetricSink();
		const events = new RecordingEventLog();
		const network = new TcpPeerNetwork({
			ownId, host, port: 0, tls, timers, metrics, events, onMessage, limits: createPeerLimits(resources, {timers, events, metrics}),
		});
		networks.push(network);
		return {network, metrics, events};
	}

	/** Sends repeatedly until a condition holds, as messages are dropped while the link is down. */
	async function sendUntil(network: TcpPeerNetwork, isReached: () => boolean): Promise<void> {
		while (!isReached()) {
			network.send('receiver', message);
			// eslint-disable-next-line no-await-in-loop
			await yieldToEventLoop();
		}
	}

	for (const authority of ['none', 'own']) {
		it(`closes a link that is reset while connecting and opens it again (certificate authority: ${authority})`, async () => {
			const kinds: string[] = [];
			const receiver = createNetwork('receiver', files.get(authority), (_fromPeerId, {kind}) => {
				kinds.push(kind);
			});
			const port = await receiver.network.listen();
			const sender = createNetwork('sender', files.get(authority));
			sender.network.setAddress({id: 'receiver', host, port});
			sender.network.send('receiver', {kind: 'test.before'});
			sender.network.resetLink('receiver');
			await sendUntil(sender.network, () => kinds.length > 0);
			assert.deepEqual([...new Set(kinds)], [message.kind]);
			assert.equal(sender.events.events.filter(({name}) => name === 'peer-connected').length, 1);

			// An established link can also be reset.
			sender.network.resetLink('receiver');
			kinds.length = 0;
			await sendUntil(sender.network, () => kinds.length > 0);
		});
	}

	// Guards against a daemon that one message takes down.
	it('drops a message whose handling fails, and handles the next one of the same connection', async () => {
		const handled: string[] = [];
		const handle = (fromPeerId: string, {kind}: PeerMessage) => {
			if (kind === 'test.odd') {
				throw new RangeError('odd value');
			}

			handled.push(`${fromPeerId} ${kind}`);
		};

		const receiver = createNetwork('receiver', undefined, handle);
		const port = await receiver.network.listen();
		const sender = createNetwork('sender', undefined);
		sender.network.setAddress({id: 'receiver', host, port});
		for (const network of [sender.network, receiver.network]) {
			network.send('receiver', {kind: 'test.odd'});
			network.send('receiver', message);
		}

		while (handled.length < 2) {
			// eslint-disable-next-line no-await-in-loop
			await yieldToEventLoop();
		}

		assert.deepEqual(handled.toSorted(), ['receiver test.message', 'sender test.message']);
		const failures = receiver.events.events.filter(({name}) => name === 'peer-message-failed').map(({fields}) => `${fields.from} ${fields.kind}`);
		assert.deepEqual(failures.toSorted(), ['receiver test.odd', 'sender test.odd']);
	});

	// Guards against connections that send nothing and take the place of the peers.
	it('keeps the connection of a peer when many others are opened', async () => {
		let receivedCount = 0;
		const receiver = createNetwork('receiver', undefined, () => {
			receivedCount++;
		});
		const port = await receiver.network.listen();
		const sender = createNetwork('sender', undefined);
		sender.network.setAddress({id: 'receiver', host, port});
		await sendUntil(sender.network, () => receivedCount > 0);
		const crowd: Socket[] = [];
		for (let count = 0; count < 100; count++) {
			const socket = connect(port, host);
			socket.on('error', () => {
				// It may be closed at any time.
			});
			crowd.push(socket);
		}

		receivedCount = 0;
		await sendUntil(sender.network, () => receivedCount > 0 && receiver.metrics.getCount('limit-peer-connections') >= 69);
		assert.equal(sender.events.events.filter(({name}) => name === 'peer-lost').length, 0);
		for (const socket of crowd) {
			socket.destroy();
		}
	});

	const cases: Array<{name: string; authority: string; isAccepted: boolean}> = [
		{name: 'a certificate of the same authority', authority: 'own', isAccepted: true},
		{name: 'a certificate of another authority', authority: 'foreign', isAccepted: false},
		{name: 'no certificate', authority: 'none', isAccepted: false},
	];
	for (const {name, authority, isAccepted} of cases) {
		it(`messages from a peer with ${name} are ${isAccepted ? 'accepted' : 'not accepted'}`, async () => {
			const receivedFrom = new Set<string>();
			const receiver = createNetwork('receiver', files.get('own'), fromPeerId => {
				receivedFrom.add(fromPeerId);
			});
			const port = await receiver.network.listen();
			const sender = createNetwork('sender', files.get(authority));
			sender.network.setAddress({id: 'receiver', host, port});
			await sendUntil(sender.network, () => receivedFrom.size > 0 || sender.metrics.getCount('peer-dropped') > 0);
			assert.deepEqual([...receivedFrom], isAccepted ? ['sender'] : []);

			// A rejected daemon does not affect other peers.
			const other = createNetwork('other', files.get('own'));
			other.network.setAddress({id: 'receiver', host, port});
			await sendUntil(other.network, () => receivedFrom.has('other'));
			assert.equal(receivedFrom.has('sender'), isAccepted);
		});
	}
});
