import type {RandomSource, TimerService} from '@camphortack/core';
import {memberTimeoutMs, shardTimeoutMs} from '../cluster-timings.js';
import {isNewerView, isSameView, type PlacerView} from '../election/placer-view.js';
import {chooseShard} from './choose-shard.js';

/** The shard of all backend servers, for deployments that a single placer can serve. */
export const globalShard = '';

/** With more backend servers, a single placer for all zones could not keep up with the load. */
const maxUndividedServers = 100;

/** Tracks how backend servers are divided among placers, and the placers of the other shards. */
export type ShardMap = {
	/** Gets the shard of this daemon: the global one, or its availability zone once divided. */
	getOwnShard(): string;
	isDivided(): boolean;
	/** Divides the deployment if there are too many backend servers or another daemon has divided it. Returns true on the transition. */
	divideIfDue(serverCount: number, isOtherDivided: boolean): boolean;
	/** Updates the placer of another shard; the expected wait of jobs there is known only from the placer itself. */
	updateOtherShard(shard: string, view: PlacerView, loadMs: number | undefined): void;
	findOtherView(shard: string): PlacerView | undefined;
	/** Finds another shard whose placer was heard recently and has a short expected wait. One that is evacuated never counts as idle. */
	findIdleShard(): string | undefined;
	/** Finds another shard that is not evacuated for a job that cannot be placed here, preferably one with a short expected wait. */
	findOpenShard(jobId: string, excludedShards: ReadonlySet<string>): string | undefined;
	/** Whether the placer of another shard was heard recently enough for its jobs to be still in progress. */
	isHeard(shard: string): boolean;
};

export type ShardMapOptions = {
	/** The availability zone of this daemon. */
	availabilityZone: string;
	/** Whether the deployment was divided before this daemon restarted. */
	wasDivided: boolean;
	/** Whether an availability zone is evacuated. */
	isEvacuated: (availabilityZone: string) => boolean;
	timers: TimerService;
	random: RandomSource;
};

/** A shard with a shorter expected wait accepts jobs forwarded from other shards. */
const idleLoadMs = 30;

type OtherShard = {
	view: PlacerView;
	loadMs: number;
	/** When a placer of the shard last announced its load. */
	announcedAtMs: number;
};

/**
 * Creates the map. A single placer for all backend servers packs tasks with the least unused capacity, so a deployment
 * is divided only when it is large. Each availability zone then has its own placer, and jobs that it refuses are
 * forwarded to an idle one. A division is not reverted while the process runs: daemons that disagree about it would
 * claim the same backend servers alternately.
 *
 * While one zone is overloaded, all its daemons choose from the same announcements. The choice is random, weighted by how
 * far each wait is below the limit, so that they do not all forward to the same zone. A zone that is cut off stays silent,
 * so its announcements expire.
 * @param options - The daemon, its clock and its source of randomness.
 *
 * @example
 * ```ts
 * const shards = createShardMap({availabilityZone: 'north', wasDivided: true, isEvacuated: () => false, timers, random});
 * shards.updateOtherShard('south', {term: 1, placerId: '10.2.0.4'}, 0);
 * shards.findIdleShard(); // 'south'
 * ```
 */
export function createShardMap({availabilityZone, wasDivided, isEvacuated, timers, random}: ShardMapOptions): ShardMap {
	const others = new Map<string, OtherShard>();
	let isDivided = wasDivided;

	function getSilenceMs(shard: string): number {
		return timers.getNowMs() - (others.get(shard)?.announcedAtMs ?? Number.NEGATIVE_INFINITY);
	}

	/** Gets the shards that may take jobs, with the waits that their placers have announced recently. */
	function getOpenShards(): Array<{shard: string; waitMs: number}> {
		return [...others]
			.filter(([shard, {view, loadMs}]) => view.placerId !== '' && Number.isFinite(loadMs) && getSilenceMs(shard) < memberTimeoutMs && !isEvacuated(shard))
			.map(([shard, {loadMs}]) => ({shard, waitMs: loadMs}));
	}

	return {
		getOwnShard: () => (isDivided ? availabilityZone : globalShard),
		isDivided: () => isDivided,
		divideIfDue(serverCount, isOtherDivided) {
			if (isDivided || (serverCount <= maxUndividedServers && !isOtherDivided)) {
				return false;
			}

			isDivided = true;
			return true;
		},
		updateOtherShard(shard, view, loadMs) {
			const known = others.get(shard);
			if (known === undefined || isNewerView(view, known.view)) {
				others.set(shard, {view, loadMs: Number.POSITIVE_INFINITY, announcedAtMs: known?.announcedAtMs ?? Number.NEGATIVE_INFINITY});
			}

			const current = others.get(shard)!;
			if (loadMs !== undefined && isSameView(view, current.view)) {
				current.loadMs = loadMs;
				current.announcedAtMs = timers.getNowMs();
			}
		},
		findOtherView: shard => others.get(shard)?.view,
		findIdleShard() {
			const idle = getOpenShards().filter(({waitMs}) => waitMs < idleLoadMs);
			const weights = idle.map(({waitMs}) => idleLoadMs - waitMs);
			return idle[findWeightedPosition(weights, random)]?.shard;
		},
		findOpenShard(jobId, excludedShards) {
			const candidates = getOpenShards().filter(({shard}) => !excludedShards.has(shard));
			return chooseShard(jobId, candidates.map(({shard, waitMs}) => ({shard, weight: 1 / (idleLoadMs + waitMs)})));
		},
		isHeard: shard => getSilenceMs(shard) < shardTimeoutMs,
	};
}

/** Chooses a position with a probability proportional to its weight. */
function findWeightedPosition(weights: readonly number[], random: RandomSource): number {
	let remaining = random.getFraction() * weights.reduce((sum, weight) => sum + weight, 0);
	return weights.findIndex(weight => {
		remaining -= weight;
		return remaining < 0;
	});
}
