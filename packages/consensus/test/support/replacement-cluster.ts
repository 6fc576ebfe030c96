import assert from 'node:assert/strict';
import {getVoterReplacementMs, type PublishResult} from '../../src/index.js';
import {getRequest, publish} from './publish.js';
import {TestCluster, type TestClusterOptions} from './test-cluster.js';

/** Time from SIGTERM to the end of a process that could end at once. */
const minStopMs = 300;
/** Time from SIGTERM to the end of a process that waits, less than the grace period. */
const maxStopMs = 5500;
const checkIntervalMs = 50;
const stepMs = 5;
const publishTimeoutMs = 6000;
const formationMs = 3000;

/** Timings and bounds of a deployment that tolerates the loss of one VM with a disk. */
const deployment: TestClusterOptions = {
	maxVoters: 3,
	voterReplacementMs: getVoterReplacementMs(4000),
	syncMs: 5,
	timings: {
		heartbeatMs: 150,
		minElectionTimeoutMs: 500,
		maxElectionTimeoutMs: 1000,
		quorumTimeoutMs: 600,
		joinIntervalMs: 300,
		barrierTimeoutMs: 800,
		documentResendMs: 200,
		documentTimeoutMs: 900,
	},
	zoneOf: id => `zone-${id[0]!}`,
};

/** A cluster whose keepers are stopped and replaced as a platform does it. A keeper `a2` is in the zone of `a`. */
export class ReplacementCluster extends TestCluster {
	#publishCount = 0;

	constructor(options: TestClusterOptions = {}) {
		super({...deployment, ...options});
		this.timers.advance(formationMs);
	}

	/** Isolates the leader until another keeper leads. */
	replaceLeader(): void {
		const leaderId = this.findLeaders()[0]!;
		const otherIds = [...this.keepers.keys()].filter(id => id !== leaderId);
		this.network.partitionPeers([leaderId], otherIds);
		this.timers.advance(3000);
		this.network.healLinks();
		this.timers.advance(3000);
	}

	/** Starts a successor with an empty disk, which knows the initial keepers only. */
	startSuccessor(id: string): void {
		this.disks.set(id, this.createDisk());
		this.start(id);
	}

	/** Sends a keeper SIGTERM: its process ends once the keeper has left, or when the grace period is almost over. */
	stopAsPlanned(id: string): void {
		const keeper = this.keepers.get(id)!;
		const stopAtMs = this.timers.getNowMs() + maxStopMs;
		const canStopAtMs = this.timers.getNowMs() + minStopMs;
		keeper.startLeaving();
		const check = this.timers.addInterval(checkIntervalMs, () => {
			const nowMs = this.timers.getNowMs();
			const isDone = this.keepers.get(id) !== keeper || nowMs >= stopAtMs || (nowMs >= canStopAtMs && keeper.hasLeft());
			if (!isDone) {
				return;
			}

			check.cancel();
			if (this.keepers.get(id) === keeper) {
				this.crash(id);
			}
		});
	}

	/** Publishes at the leader, and waits only until it is acknowledged. */
	publishNext(): void {
		const results: PublishResult[] = [];
		this.getLeader().publish(getRequest(`publish-${this.#publishCount}`, this.#publishCount), result => {
			results.push(result);
		});
		this.#publishCount++;
		for (let waitedMs = 0; waitedMs < publishTimeoutMs && results.length === 0; waitedMs += stepMs) {
			this.timers.advance(stepMs);
		}

		assert.equal(results[0]?.outcome, 'published');
	}

	/** Gets the ids of the voters, according to the newest leader. */
	getVoterIds(): string[] {
		const statuses = [...this.keepers.values()].map(keeper => keeper.getStatus());
		const [newest] = statuses.toSorted((left, right) => right.commitIndex - left.commitIndex);
		return newest!.keepers.filter(({role}) => role === 'voter').map(({keeperId}) => keeperId).toSorted();
	}

	/** Whether a publish succeeds at a keeper, as the next version of the newest one that was acknowledged. */
	canPublish(id = [...this.keepers.keys()][0]!): boolean {
		const result = publish(this, id, getRequest(`publish-${this.#publishCount}`, this.#publishCount));
		const hasSucceeded = result?.outcome === 'published' && result.version === this.#publishCount + 1;
		this.#publishCount += Number(hasSucceeded);
		return hasSucceeded;
	}
}
