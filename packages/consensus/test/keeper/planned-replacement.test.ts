import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {PeerMessage} from '@camphortack/core';
import {ReplacementCluster} from '../support/replacement-cluster.js';

const keeperIds = ['a', 'b', 'c'];
const catchUpMs = 4000;

/** Creates a cluster that a keeper leads, since the leader itself may be the one that is replaced. */
function createCluster(leaderId: string, options: {keeperIds?: string[]} = {}): ReplacementCluster {
	for (let seed = 1; seed <= 100; seed++) {
		const cluster = new ReplacementCluster({...options, seed});
		if (leaderId !== cluster.findLeaders()[0]) {
			cluster.replaceLeader();
		}

		if (cluster.findLeaders()[0] === leaderId) {
			cluster.publishNext();
			return cluster;
		}
	}

	throw new Error(`no seed lets ${leaderId} lead`);
}

/** Creates a cluster that b leads, a time after a was stopped while its successor was ready. */
function createLeavingCluster(delayMs: number): ReplacementCluster {
	const cluster = createCluster('b');
	cluster.startSuccessor('a2');
	cluster.timers.advance(catchUpMs);
	cluster.stopAsPlanned('a');
	cluster.timers.advance(delayMs);
	return cluster;
}

/** Lets one message of a kind be lost, doubled 1 s later, or late, while something is done. Returns whether there was such a message. */
function addMessageFault(cluster: ReplacementCluster, fault: {kind: string; position: number; effect: 'lost' | 'doubled' | 'late'}, act: () => void): boolean {
	let seenCount = 0;
	cluster.interceptMessage = (message, _route, deliver) => {
		const isCounted = message.kind === fault.kind;
		const isAffected = isCounted && seenCount === fault.position;
		seenCount += Number(isCounted);
		if (!isAffected || fault.effect === 'doubled') {
			deliver(message);
		}

		if (isAffected && fault.effect !== 'lost') {
			cluster.timers.addTimer(fault.effect === 'late' ? 700 : 1000, () => {
				deliver(message);
			});
		}
	};

	act();
	return seenCount > fault.position;
}

describe('the planned replacement of keepers', () => {
	for (const leaderId of keeperIds) {
		for (const [delay, delayMs] of [['at the same moment', 0], ['20 ms apart', 20], ['1 s apart', 1000]] as const) {
			// Guards against a majority of votes of keepers that have ended: nothing can be read or published any more.
			it(`keeps a majority when a and b are replaced ${delay} while ${leaderId} leads`, () => {
				const cluster = createCluster(leaderId);
				cluster.startSuccessor('a2');
				cluster.startSuccessor('b2');
				cluster.timers.advance(catchUpMs);
				cluster.stopAsPlanned('a');
				cluster.timers.advance(delayMs);
				cluster.stopAsPlanned('b');
				cluster.timers.advance(1000);
				assert.deepEqual([...cluster.keepers.keys()].toSorted(), ['a2', 'b2', 'c']);
				assert.deepEqual(cluster.getVoterIds(), ['a2', 'b2', 'c']);
				assert.ok(cluster.canPublish());
			});
		}

		// Guards against the same when nobody of the first voters stays.
		it(`keeps a majority when all keepers are replaced at once while ${leaderId} leads`, () => {
			const cluster = createCluster(leaderId);
			for (const id of keeperIds) {
				cluster.startSuccessor(`${id}2`);
			}

			cluster.timers.advance(catchUpMs);
			for (const id of keeperIds) {
				cluster.stopAsPlanned(id);
			}

			cluster.timers.advance(2000);
			assert.deepEqual(cluster.getVoterIds(), ['a2', 'b2', 'c2']);
			assert.ok(cluster.canPublish('a2'));
		});

		for (const lostId of ['b', 'c']) {
			// Guards against a vote of an ended process beside the vote of a lost one.
			it(`keeps a majority when a is replaced and ${lostId} is lost for good 1 s later while ${leaderId} leads`, () => {
				const cluster = createCluster(leaderId);
				cluster.startSuccessor('a2');
				cluster.timers.advance(catchUpMs);
				cluster.stopAsPlanned('a');
				cluster.timers.advance(1000);
				cluster.crash(lostId);
				cluster.startSuccessor(`${lostId}2`);
				cluster.timers.advance(4000);
				assert.ok(cluster.canPublish('a2'));
			});
		}

		for (const [firstId, secondId] of [['a', 'b'], ['b', 'c'], ['c', 'a']] as const) {
			for (const startDelayMs of [0, 1000]) {
				// Guards against a lost voter that stays one after its successor has had its time to catch up.
				it(`keeps a majority when ${firstId} is lost while ${leaderId} leads, its successor starts ${startDelayMs} ms later, and ${secondId} is lost once that has caught up`, () => {
					const cluster = createCluster(leaderId);
					cluster.crash(firstId);
					cluster.timers.advance(startDelayMs);
					cluster.startSuccessor(`${firstId}2`);
					cluster.timers.advance(catchUpMs);
					cluster.crash(secondId);
					cluster.timers.advance(1000);
					cluster.startSuccessor(`${secondId}2`);
					cluster.timers.advance(catchUpMs);
					assert.ok(cluster.canPublish());
				});
			}
		}

		// Guards against a request to give back the vote that is lost with the leader that received it.
		it(`gives back the vote of a when ${leaderId}, or the next leader, is lost for a while after SIGTERM`, () => {
			for (const delayMs of [0, 1, 5, 10, 20, 50]) {
				const cluster = createCluster(leaderId, {keeperIds: ['a', 'b', 'c', 'd']});
				cluster.stopAsPlanned('a');
				cluster.timers.advance(delayMs);
				const lostId = cluster.findLeaders().find(id => id !== 'a');
				if (lostId === undefined) {
					continue;
				}

				cluster.crash(lostId);
				cluster.timers.advance(500);
				cluster.start(lostId);
				cluster.timers.advance(5500);
				assert.equal(cluster.getVoterIds().includes('a'), false, `${lostId} lost after ${delayMs} ms`);
				assert.ok(cluster.canPublish('b'));
			}
		});
	}

	// Guards against a set that needs the vote of a successor that ended while it was promoted.
	it('keeps a majority when the successor is lost at any moment of the exchange', () => {
		for (let delayMs = 0; delayMs <= 320; delayMs += 4) {
			const cluster = createLeavingCluster(delayMs);
			cluster.crash('a2');
			cluster.timers.advance(6000);
			assert.ok(cluster.canPublish('b'), `lost after ${delayMs} ms`);
		}
	});

	// Guards against an exchange during which the loss of one more voter loses the majority.
	it('keeps a majority when another voter is lost at any moment of the exchange', () => {
		for (const lostId of ['b', 'c']) {
			for (let delayMs = 0; delayMs <= 320; delayMs += 4) {
				const cluster = createLeavingCluster(delayMs);
				cluster.crash(lostId);
				cluster.timers.advance(6000);
				assert.ok(cluster.canPublish('a2'), `${lostId} lost after ${delayMs} ms`);
			}
		}
	});

	// Guards against a set on disk that needs a keeper which does not come back.
	it('recovers when power is lost everywhere at any moment of the exchange and the leaving keeper stays away', () => {
		for (let delayMs = 0; delayMs <= 320; delayMs += 4) {
			const cluster = createLeavingCluster(delayMs);
			for (const id of ['a', 'b', 'c', 'a2']) {
				cluster.crash(id);
			}

			cluster.timers.advance(500);
			for (const id of ['b', 'c', 'a2']) {
				cluster.start(id);
			}

			cluster.timers.advance(5000);
			assert.ok(cluster.canPublish('b'), `power lost after ${delayMs} ms`);
			assert.deepEqual(cluster.getVoterIds(), ['a2', 'b', 'c']);
		}
	});

	// Guards against a compaction that takes a set of keepers out of the log before it is in the snapshot.
	it('recovers when the log is compacted between the two changes', () => {
		const compactedAfter = 512;
		for (let publishCount = compactedAfter - 10; publishCount <= compactedAfter; publishCount++) {
			const cluster = createCluster('b');
			cluster.startSuccessor('a2');
			for (let version = 1; version < publishCount; version++) {
				cluster.publishNext();
			}

			cluster.timers.advance(catchUpMs);
			cluster.stopAsPlanned('a');
			cluster.timers.advance(1000);
			for (const id of ['b', 'c', 'a2']) {
				cluster.restart(id);
			}

			cluster.timers.advance(3000);
			assert.deepEqual(cluster.getVoterIds(), ['a2', 'b', 'c']);
			assert.ok(cluster.canPublish('a2'), `after ${publishCount} publishes`);
		}
	});

	// Guards against words about a leaving keeper that count although they are lost, late or doubled.
	it('gives back the vote through links that lose, delay and double messages', () => {
		for (let seed = 1; seed <= 30; seed++) {
			const cluster = new ReplacementCluster({
				seed, network: {
					lossRatio: 0.2, duplicationRatio: 0.2, minDelayMs: 0.5, maxDelayMs: 100,
				},
			});
			cluster.startSuccessor('a2');
			cluster.timers.advance(catchUpMs + 2000);
			cluster.stopAsPlanned('a');
			cluster.timers.advance(5500);
			assert.equal(cluster.getVoterIds().includes('a'), false, `seed ${seed}`);
			assert.ok(cluster.canPublish('b'), `seed ${seed}`);
		}
	});

	const kinds = [
		'consensus.append', 'consensus.append-answer', 'consensus.feed', 'consensus.timeout-now', 'consensus.vote-request', 'consensus.vote-answer',
	];
	for (const kind of kinds) {
		// Guards against a vote that is lost, or kept for good, because of one message.
		it(`gives back the votes of a and b although one message ${kind} is lost, doubled or late`, () => {
			for (const effect of ['lost', 'doubled', 'late'] as const) {
				for (let position = 0, wasAffected = true; position < 40 && wasAffected; position++) {
					const cluster = createCluster('a');
					cluster.startSuccessor('a2');
					cluster.startSuccessor('b2');
					cluster.timers.advance(catchUpMs);
					wasAffected = addMessageFault(cluster, {kind, position, effect}, () => {
						cluster.stopAsPlanned('a');
						cluster.stopAsPlanned('b');
						cluster.timers.advance(5500);
					});
					assert.deepEqual([cluster.keepers.has('a'), cluster.keepers.has('b')], [false, false]);
					cluster.timers.advance(3000);
					assert.deepEqual(cluster.getVoterIds(), ['a2', 'b2', 'c'], `${position} ${effect}`);
					assert.ok(cluster.canPublish('c'), `${position} ${effect}`);
				}
			}
		});
	}

	// Guards against a restart in place that takes away a vote, or the time of the grace period, although nobody can take the vote over.
	it('keeps the vote, and ends at once, when there is no learner', () => {
		for (const id of keeperIds) {
			const cluster = createCluster('b');
			cluster.stopAsPlanned(id);
			cluster.timers.advance(350);
			assert.equal(cluster.keepers.has(id), false);
			assert.deepEqual(cluster.getVoterIds(), keeperIds);
			cluster.start(id);
			cluster.timers.advance(3000);
			assert.deepEqual(cluster.getVoterIds(), keeperIds);
			assert.ok(cluster.canPublish(id));
		}
	});

	// Guards against a learner that is gone and for which each stop waits.
	it('keeps the vote when the only learner has been lost', () => {
		const cluster = createCluster('b', {keeperIds: ['a', 'b', 'c', 'd']});
		const learnerId = ['a', 'b', 'c', 'd'].find(id => !cluster.getVoterIds().includes(id));
		const leavingId = cluster.getVoterIds().find(id => id !== 'b');
		cluster.crash(learnerId!);
		cluster.timers.advance(2000);
		cluster.stopAsPlanned(leavingId!);
		cluster.timers.advance(1000);
		assert.equal(cluster.keepers.has(leavingId!), false);
		assert.ok(cluster.getVoterIds().includes(leavingId!));
		assert.equal(cluster.getVoterIds().includes(learnerId!), false);
		cluster.start(leavingId!);
		cluster.timers.advance(3000);
		assert.ok(cluster.canPublish(leavingId));
	});

	// Guards against a vote that is given up for a learner which was lost seconds ago.
	it('leaves the votes as they are when the only learner was lost while it was idle', () => {
		for (let silentMs = 100; silentMs <= 10_000; silentMs += 700) {
			const cluster = createCluster('b', {keeperIds: ['a', 'b', 'c', 'd']});
			const learnerId = ['a', 'b', 'c', 'd'].find(id => !cluster.getVoterIds().includes(id));
			const lostId = cluster.getVoterIds().find(id => id !== 'b');
			cluster.timers.advance(5000);
			cluster.crash(learnerId!);
			cluster.timers.advance(silentMs);
			cluster.crash(lostId!);
			cluster.timers.advance(8000);
			assert.equal(cluster.getVoterIds().length, 3, `lost ${silentMs} ms before`);
			assert.equal(cluster.getVoterIds().includes(learnerId!), false);
			assert.ok(cluster.canPublish('b'));
		}
	});

	// Guards against a successor that starts with the stop and whose predecessor has ended with its vote by then.
	it('gives the vote to a learner that joins and catches up during the stop', () => {
		const cluster = createCluster('b');
		cluster.stopAsPlanned('a');
		cluster.timers.advance(200);
		cluster.startSuccessor('a2');
		cluster.timers.advance(1500);
		assert.equal(cluster.keepers.has('a'), false);
		assert.deepEqual(cluster.getVoterIds(), ['a2', 'b', 'c']);
	});

	// Guards against a keeper that is treated as leaving after its next start.
	it('lets a keeper vote again that comes back under its identity', () => {
		const cluster = createCluster('b', {keeperIds: ['a', 'b', 'c', 'd']});
		for (const id of ['a', 'b', 'c', 'd', 'a', 'b']) {
			cluster.stopAsPlanned(id);
			cluster.timers.advance(1500);
			assert.equal(cluster.keepers.has(id), false, `${id} has not ended`);
			assert.equal(cluster.getVoterIds().includes(id), false);
			assert.equal(cluster.getVoterIds().length, 3);
			cluster.start(id);
			cluster.timers.advance(1500);
			assert.ok(cluster.canPublish(id));
		}
	});

	/** Fields that daemons of an earlier version neither send nor read. */
	function withoutNewFields(message: PeerMessage): PeerMessage {
		return {...message, isLeaving: undefined, isVoteKept: undefined};
	}

	for (const earlierIds of [['a'], ['b'], ['a', 'b', 'c'], ['c', 'a2'], ['a2']]) {
		// Guards against votes lost between daemons of two versions.
		it(`keeps a majority beside daemons ${earlierIds.join(', ')} of an earlier version`, () => {
			const cluster = createCluster('b');
			cluster.startSuccessor('a2');
			cluster.timers.advance(catchUpMs);
			cluster.interceptMessage = (message, {fromId, toId}, deliver) => {
				deliver(earlierIds.includes(fromId) || earlierIds.includes(toId) ? withoutNewFields(message) : message);
			};

			cluster.stopAsPlanned('a');
			cluster.timers.advance(12_000);
			assert.deepEqual(cluster.getVoterIds(), ['a2', 'b', 'c']);
			assert.ok(cluster.canPublish('a2'));
		});
	}
});
