import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import {
	FakeNetwork, RecordingEventLog, RecordingMetricSink, VirtualTimers,
} from '@camphortack/testkit';
import {createFakeFleet} from '../../placement/test/support/fake-fleet.js';
import {runFor} from '../../placement/test/support/run-for.js';
import {createCluster} from '../src/index.js';
import {getIncarnationsDigest} from '../src/registry/get-incarnations-digest.js';

const entryId = 'entry-a1';
const earlierPlacerId = 'keeper-a1';

/**
 * Creates a daemon that has become the placer, and an entry daemon and an earlier placer whose registries and records have the rows that a test
 * gives them.
 */
function setUp(oddRows: ReadonlyArray<{id: string; bornMs: number}>) {
	const timers = new VirtualTimers();
	const network = new FakeNetwork({timers, random: createSeededRandomSource(1)});
	const fleet = createFakeFleet({
		timers, serverCount: 2, availabilityZones: ['a'], getDurationMs: () => 100,
	});
	const metrics = new RecordingMetricSink();
	const events = new RecordingEventLog();
	const ownPeer = network.addPeer('keeper-a', (fromId, message) => {
		cluster.handlePeerMessage(fromId, message);
	});
	const cluster = createCluster({
		ownId: 'keeper-a',
		daemonNumber: 1,
		availabilityZone: 'a',
		isKeeper: true,
		seedIds: ['keeper-a'],
		peers: ownPeer,
		resetLink() {
			// Fake links queue nothing.
		},
		backendServerClient: fleet.getClient('keeper-a'),
		timers,
		random: createSeededRandomSource(2),
		events,
		metrics,
		onConfiguration() {
			// These tests send no configurations.
		},
		onContacts() {
			// Fake links need no addresses.
		},
	});
	const descriptions = fleet.servers.map(({description}) => description);
	const recorded = [...oddRows, ...descriptions.slice(1)];
	const recordDigest = getIncarnationsDigest(recorded);
	const others = [earlierPlacerId, entryId].map(id => {
		const peer = network.addPeer(id, (fromId, message) => {
			if (message.kind === 'cluster.registry-request') {
				peer.send(fromId, {kind: 'cluster.registry', descriptions: [...oddRows, ...descriptions], digest: 'earlier'});
			} else if (message.kind === 'placement.record-request') {
				peer.send(fromId, {kind: 'placement.record', descriptions: recorded, digest: recordDigest});
			}
		});
		return {id, peer};
	});

	function sendHeartbeats(): void {
		const {term, placerId} = cluster.getStatus();
		for (const {id, peer} of others) {
			peer.send('keeper-a', {
				kind: 'cluster.heartbeat', availabilityZone: 'a', isKeeper: id === earlierPlacerId, incarnation: 'one', upMs: 60_000,
				shard: '', term, placerId, hearsPlacer: placerId !== '', isLeaving: false, configurationNumber: 0,
			});
		}
	}

	return {
		metrics, events, cluster,
		async run(durationMs: number) {
			for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
				sendHeartbeats();
				await runFor(timers, 100); // eslint-disable-line no-await-in-loop -- Time passes in steps.
			}
		},
		submit() {
			others[1]!.peer.send('keeper-a', {
				kind: 'placement.submit',
				submissionId: 'one',
				generation: 1,
				mayHaveStarted: true,
				handover: {placers: [{placerId: earlierPlacerId, incarnation: 'one'}], registryDigest: 'earlier', recordDigest},
				request: {
					jobId: 'job', queueName: 'q', service: 'quotes', payload: '', steps: [{
						taskCount: 1, cpuMillicores: 1000, memoryMb: 1, gpuCount: 0, estimateMs: 100, dependsOn: [],
					}], mostAttempts: 3, stretch: 2, slackMs: 100, ageMs: 0, callerTimeoutMs: 20_000,
				},
			});
		},
	};
}

describe('createCluster, with odd rows in the record of an entry daemon', () => {
	const rows: Array<{title: string; odd: Array<{id: string; bornMs: number; host: string}>; isCovered: boolean}> = [
		{title: 'no odd row', odd: [], isCovered: true},
		// Guards against a second run: the earlier placer may have started the task on the backend server of the row.
		{title: 'one odd row', odd: [{id: 'odd', bornMs: 1, host: '[::1'}], isCovered: false},
	];
	for (const {title, odd, isCovered} of rows) {
		it(`${title} → the record ${isCovered ? 'covers' : 'does not cover'} the runs of the earlier placer`, async () => {
			const test = setUp(odd);
			await test.run(3000);
			assert.equal(test.cluster.getStatus().placerId, 'keeper-a');
			assert.equal(test.cluster.getStatus().serverCount, 2, 'the sound rows are in use');
			test.submit();
			await test.run(3000);
			const recovered = test.events.events.filter(({name}) => name === 'job-recovered').map(({fields}) => ({known: fields.known, isCovered: fields.isCovered}));
			assert.deepEqual(recovered, [{known: isCovered, isCovered}]);
			assert.equal(test.metrics.getCount('peer-row-dropped') > 0, odd.length > 0);
		});
	}
});
