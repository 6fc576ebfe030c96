import {isNewerView, type PlacerView} from '../election/placer-view.js';

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
	/** Updates the placer of another shard and the expected wait of jobs there. */
	updateOtherShard(shard: string, view: PlacerView, loadMs: number | undefined): void;
	findOtherView(shard: string): PlacerView | undefined;
	/** Finds the other shard with the shortest expected wait; undefined if the wait is too long in all of them. */
	findIdleShard(): string | undefined;
};

/** A shard with a shorter expected wait accepts jobs forwarded from other shards. */
const idleLoadMs = 30;

type OtherShard = {
	view: PlacerView;
	loadMs: number;
};

/**
 * Creates the map. A single placer for all backend servers packs tasks with the least unused capacity, so a deployment
 * is divided only when it is large. Each availability zone then has its own placer, and jobs that it refuses are
 * forwarded to an idle one. A division is not reverted while the process runs: daemons that disagree about it would
 * claim the same backend servers alternately.
 * @param availabilityZone - The availability zone of this daemon.
 * @param wasDivided - Whether the deployment was divided before this daemon restarted.
 */
export function createShardMap(availabilityZone: string, wasDivided: boolean): ShardMap {
	const others = new Map<string, OtherShard>();
	let isDivided = wasDivided;

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
				others.set(shard, {view, loadMs: loadMs ?? 0});
			} else if (loadMs !== undefined) {
				known.loadMs = loadMs;
			}
		},
		findOtherView: shard => others.get(shard)?.view,
		findIdleShard() {
			const idle = [...others].filter(([, {view, loadMs}]) => view.placerId !== '' && loadMs < idleLoadMs);
			return idle.toSorted(([, left], [, right]) => left.loadMs - right.loadMs)[0]?.[0];
		},
	};
}
