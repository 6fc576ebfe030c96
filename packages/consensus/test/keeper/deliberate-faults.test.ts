import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {getRequest, publish} from '../support/publish.js';
import {TestCluster, type ClusterFault} from '../support/test-cluster.js';

/** Every keeper loses power at the same time, right after a publish was acknowledged. */
function runPowerLoss(fault?: ClusterFault): void {
	const cluster = new TestCluster({fault, syncMs: 40});
	cluster.timers.advance(6000);
	const results: unknown[] = [];
	cluster.getLeader().publish(getRequest('first', 0), result => {
		results.push(result);
	});
	while (results.length === 0) {
		cluster.timers.advance(1);
	}

	for (const id of ['a', 'b', 'c']) {
		cluster.restart(id);
	}

	cluster.timers.advance(8000);
	assert.ok(cluster.getLeader().getHistory().findPublish('first') !== undefined, 'the publish was lost');
}

/** A publish is committed while one keeper is isolated. Then the leader crashes and the third keeper loses its disk. */
function runLostDisk(fault?: ClusterFault): void {
	const cluster = new TestCluster({fault});
	cluster.timers.advance(6000);
	const leaderId = cluster.findLeaders()[0]!;
	const [behindId, lostId] = ['a', 'b', 'c'].filter(id => id !== leaderId);
	cluster.network.partitionPeers([behindId!], [leaderId, lostId!]);
	publish(cluster, leaderId, getRequest('first', 0));
	cluster.crash(leaderId);
	cluster.loseDisk(lostId!);
	cluster.start(lostId!);
	cluster.network.healLinks();
	publish(cluster, behindId!, getRequest('other', 0), 10_000);
	cluster.start(leaderId);
	cluster.timers.advance(10_000);
	assert.equal(cluster.getLeader().getHistory().findVersion(1)?.publishId, 'first');
}

/** Two candidates request a vote in the same term from the same keeper, which restarts in between. */
function runDoubleVote(fault?: ClusterFault): void {
	const cluster = new TestCluster({fault, keeperIds: ['a', 'b'], initialKeeperIds: ['z']});
	cluster.timers.advance(100);
	const voterId = 'a';
	const granted: unknown[] = [];
	for (const candidateId of ['x', 'y']) {
		cluster.network.addPeer(candidateId, (_from, message) => {
			granted.push(message.isGranted);
		}).send(voterId, {
			kind: 'consensus.vote-request',
			term: 5,
			fromIdentity: candidateId,
			toIdentity: cluster.keepers.get(voterId)!.getStatus().identity,
			lastIndex: 0,
			lastTerm: 0,
			isPreVote: false,
			isTransfer: false,
		});
		cluster.timers.advance(100);
		cluster.restart(voterId);
	}

	assert.equal(granted.filter(Boolean).length, 1, 'two votes in one term');
}

/** A daemon receives a version while its zone's keeper is down. The keeper returns with an older version and isolated from the other keepers; then the daemon restarts. */
function runStaleKeeperReturn(fault?: ClusterFault): void {
	const cluster = new TestCluster({fault, zoneOf: id => `zone-${id.slice(0, 1)}`});
	for (const id of ['a', 'b', 'c', 'a1']) {
		cluster.startFollower(id);
	}

	cluster.shareMembers();
	cluster.timers.advance(6000);
	publish(cluster, 'b', getRequest('first', 0));
	cluster.crash('a');
	cluster.shareMembers();
	publish(cluster, 'b', getRequest('second', 1), 10_000);
	cluster.network.partitionPeers(['a'], ['b', 'c']);
	cluster.start('a');
	cluster.startFollower('a');
	cluster.crash('a1');
	cluster.startFollower('a1');
	cluster.shareMembers();
	cluster.timers.advance(10_000);
	const versions = cluster.versions.get('a1')!.map(({version}) => version);
	assert.deepEqual(versions, versions.toSorted((left, right) => left - right), 'the version decreased');
}

describe('fault injection', () => {
	const rows: Array<{promise: string; run: (fault?: ClusterFault) => void; fault: ClusterFault; expectedError: RegExp}> = [
		{
			promise: 'an acknowledged publish survives a power loss', run: runPowerLoss, fault: 'acknowledges-before-sync', expectedError: /committed different entries|was lost/v,
		},
		{
			promise: 'a keeper that lost its disk cannot vote with its old identity', run: runLostDisk, fault: 'keeps-identity', expectedError: /committed different entries/v,
		},
		{
			promise: 'a vote survives a restart', run: runDoubleVote, fault: 'forgets-votes', expectedError: /two votes in one term/v,
		},
		{
			promise: 'a restarted daemon without a disk does not return to an older version', run: runStaleKeeperReturn, fault: 'confirms-always', expectedError: /the version decreased/v,
		},
	];
	for (const {promise, run, fault, expectedError} of rows) {
		it(`${promise}; the check fails with the fault ${fault}`, () => {
			run();
			assert.throws(() => {
				run(fault);
			}, expectedError);
		});
	}
});
