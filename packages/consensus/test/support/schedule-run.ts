import assert from 'node:assert/strict';
import type {PublishRequest, PublishResult} from '../../src/index.js';
import {getRequest} from './publish.js';
import {TestCluster, type ClusterFault} from './test-cluster.js';

/** A step of a schedule. The numbers select keepers or daemons, modulo their count. */
export type Step = {
	kind: 'publish' | 'race' | 'stale-publish' | 'resend' | 'crash' | 'lose-disk' | 'restart' | 'cut' | 'isolate' | 'heal' | 'pause' | 'resume' | 'leave' | 'restart-daemon';
	first: number;
	second: number;
	waitMs: number;
};

export type Schedule = {
	seed: number;
	keeperCount: number;
	lossRatio: number;
	duplicationRatio: number;
	maxDelayMs: number;
	steps: readonly Step[];
};

type Publish = {request: PublishRequest; results: PublishResult[]; sentCount: number};

const daemonIds = ['k0-daemon', 'k1-daemon', 'k9-daemon'];
const maxRecoveryMs = 60_000;

/** Runs a schedule against real keepers and followers and compares the results with a naive model: a map from versions to publishes. */
export class ScheduleRun {
	readonly #cluster: TestCluster;
	readonly #keeperIds: readonly string[];
	readonly #schedule: Schedule;
	readonly #publishes: Publish[] = [];
	readonly #winners = new Map<number, string>();
	readonly #digests = new Map<number, number>();

	constructor(schedule: Schedule, fault?: ClusterFault) {
		this.#schedule = schedule;
		this.#keeperIds = Array.from({length: schedule.keeperCount}, (_, index) => `k${index}`);
		this.#cluster = new TestCluster({
			seed: schedule.seed,
			keeperIds: this.#keeperIds,
			network: {
				lossRatio: schedule.lossRatio, duplicationRatio: schedule.duplicationRatio, minDelayMs: 0.5, maxDelayMs: schedule.maxDelayMs,
			},
			zoneOf: id => id.split('-')[0]!,
			driftRatio: 0.01,
			syncMs: 5,
			fault,
		});
	}

	/** Runs the schedule, heals all faults and checks the final state. */
	run(): void {
		const cluster = this.#cluster;
		cluster.onActivation = (id, version, digest) => {
			this.#checkActivation(id, version, digest);
		};

		for (const id of [...this.#keeperIds, ...daemonIds]) {
			cluster.startFollower(id);
		}

		cluster.shareMembers();
		cluster.timers.advance(8000);
		for (const step of this.#schedule.steps) {
			this.#runStep(step);
			cluster.timers.advance(step.waitMs);
			this.#checkLeaders();
		}

		this.#heal();
		this.#checkPublishSucceeds();
		this.#checkEnd();
	}

	#runStep({kind, first, second}: Step): void {
		const cluster = this.#cluster;
		const id = this.#getKeeperId(first);
		const otherId = this.#getKeeperId(second);
		switch (kind) {
			case 'publish': {
				this.#publish(id, this.#getVersion(id));
				break;
			}

			case 'race': {
				const baseVersion = this.#getVersion(id);
				this.#publish(id, baseVersion);
				this.#publish(otherId, baseVersion);
				break;
			}

			case 'stale-publish': {
				this.#publish(id, Math.max(0, this.#getVersion(id) - 1));
				break;
			}

			case 'resend': {
				if (this.#publishes.length > 0) {
					this.#send(id, this.#publishes[second % this.#publishes.length]!);
				}

				break;
			}

			case 'crash': {
				cluster.crash(id);
				break;
			}

			case 'lose-disk': {
				this.#loseDisk(id);
				break;
			}

			case 'restart': {
				this.#restart(id);
				break;
			}

			case 'cut': {
				cluster.network.cutLink(id, otherId);
				break;
			}

			case 'isolate': {
				cluster.network.partitionPeers([id], this.#keeperIds.filter(other => other !== id));
				break;
			}

			case 'heal': {
				cluster.network.healLinks();
				break;
			}

			case 'pause': {
				cluster.nodeTimers.get(id)!.pause();
				break;
			}

			case 'resume': {
				cluster.nodeTimers.get(id)!.resume();
				break;
			}

			case 'leave': {
				cluster.keepers.get(id)?.startLeaving();
				break;
			}

			case 'restart-daemon': {
				const daemonId = daemonIds[first % daemonIds.length]!;
				cluster.crash(daemonId);
				cluster.startFollower(daemonId);
				cluster.shareMembers();
				break;
			}
		}
	}

	#getKeeperId(number: number): string {
		return this.#keeperIds[number % this.#keeperIds.length]!;
	}

	#getVersion(id: string): number {
		return this.#cluster.keepers.get(id)?.getStatus().version ?? 0;
	}

	#publish(id: string, baseVersion: number): void {
		const request = getRequest(`publish-${this.#publishes.length}`, baseVersion, id);
		const added = {request, results: [], sentCount: 0};
		this.#publishes.push(added);
		this.#send(id, added);
	}

	#send(id: string, publish: Publish): void {
		const keeper = this.#cluster.keepers.get(id);
		if (keeper === undefined) {
			return;
		}

		publish.sentCount++;
		this.#cluster.nodeTimers.get(id)!.run(() => {
			keeper.publish(publish.request, result => {
				publish.results.push(result);
				this.#checkResult(publish, result);
			});
		});
	}

	/** Loses the disk of a keeper if the other voters with intact disks still form a majority. */
	#loseDisk(id: string): void {
		const statuses = [...this.#cluster.keepers].map(([keeperId, keeper]) => ({keeperId, status: keeper.getStatus()}));
		const current = statuses.toSorted((left, right) => right.status.commitIndex - left.status.commitIndex)[0]?.status;
		const voters = current?.keepers.filter(keeper => keeper.role === 'voter') ?? [];
		const intact = voters.filter(voter => voter.keeperId !== id && statuses.some(({keeperId, status}) => keeperId === voter.keeperId && status.identity === voter.identity));
		if (intact.length > voters.length / 2) {
			this.#cluster.loseDisk(id);
			this.#restart(id);
		}
	}

	#restart(id: string): void {
		this.#cluster.restart(id);
		this.#cluster.startFollower(id);
		this.#cluster.shareMembers();
	}

	#heal(): void {
		const cluster = this.#cluster;
		cluster.network.healLinks();
		for (const id of this.#keeperIds) {
			cluster.nodeTimers.get(id)!.resume();
			this.#restart(id);
		}

		cluster.timers.advance(5000);
	}

	#checkResult(publish: Publish, result: PublishResult): void {
		if (result.outcome === 'published') {
			const winner = this.#winners.get(result.version) ?? publish.request.publishId;
			assert.equal(publish.request.publishId, winner, `two publishes were acknowledged as version ${result.version}`);
			assert.equal(result.version, publish.request.baseVersion + 1);
			this.#winners.set(result.version, winner);
		} else if (result.outcome === 'conflict') {
			assert.ok(result.version > publish.request.baseVersion, 'conflict without a later version');
			assert.notEqual(result.winner?.publishId, publish.request.publishId, 'publish conflicts with itself');
		}
	}

	#checkActivation(id: string, version: number, digest: number | undefined): void {
		const versions = this.#cluster.versions.get(id)!;
		const before = versions.at(-2)?.version ?? 0;
		const isRestartedKeeper = this.#keeperIds.includes(id) && version === before;
		const isRestartedDaemon = daemonIds.includes(id) && version === before;
		assert.ok(version > before || isRestartedKeeper || isRestartedDaemon, `${id} went back from version ${before} to ${version}`);
		if (digest !== undefined) {
			assert.equal(digest, this.#digests.get(version) ?? digest, `different contents of version ${version} are active`);
			this.#digests.set(version, digest);
		}
	}

	#checkLeaders(): void {
		const terms = this.#cluster.events.events.filter(event => event.name === 'leader-elected').map(event => event.fields.term);
		assert.equal(new Set(terms).size, terms.length, 'two leaders in one term');
	}

	/** After healing, a publish must succeed and become active on every daemon within a bounded time. */
	#checkPublishSucceeds(): void {
		const cluster = this.#cluster;
		const endMs = cluster.timers.getNowMs() + maxRecoveryMs;
		const isDone = () => {
			const last = this.#publishes.at(-1)?.results.at(-1);
			return last?.outcome === 'published';
		};

		for (let attempt = 0; cluster.timers.getNowMs() < endMs && (attempt === 0 || !isDone()); attempt++) {
			const id = this.#getKeeperId(attempt);
			this.#publish(id, this.#getVersion(id));
			cluster.timers.advance(5500);
		}

		assert.ok(isDone(), 'no publish succeeded after healing');
		const finalVersion = Math.max(...this.#winners.keys());
		while (cluster.timers.getNowMs() < endMs && !this.#isActiveEverywhere(finalVersion)) {
			cluster.timers.advance(1000);
		}

		assert.ok(this.#isActiveEverywhere(finalVersion), `version ${finalVersion} is not active on every daemon after healing`);
	}

	#isActiveEverywhere(version: number): boolean {
		return [...this.#cluster.followers.values()].every(follower => follower.getStatus().version === version);
	}

	/** Every acknowledged publish must be in every keeper's history, and no publish that was rejected as not published in any. */
	#checkEnd(): void {
		for (const [id, keeper] of this.#cluster.keepers) {
			const history = keeper.getHistory();
			for (const {request, results, sentCount} of this.#publishes) {
				const record = history.findPublish(request.publishId);
				const wasAcknowledged = results.some(result => result.outcome === 'published');
				const wasRefused = results.length === sentCount && results.every(result => result.outcome === 'conflict' || (result.outcome === 'no-majority' && result.state === 'not-published'));
				assert.ok(!wasAcknowledged || record !== undefined, `${id} lost the acknowledged ${request.publishId}`);
				assert.ok(!wasRefused || record === undefined, `${id} has ${request.publishId}, which was rejected`);
			}
		}
	}
}
