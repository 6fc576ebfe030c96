import {isNewerView, type PlacerView} from '../election/placer-view.js';

/** The shard of all backend servers together, for deployments that one placer can serve. */
export const globalShard = '';

/** Backend servers from which one placer for all zones could not keep up with the work that they bring. */
const maxUndividedServers = 100;

/** Which backend servers share a placer, and who places in the other shards. */
export type ShardMap = {
	/** The shard of this daemon: all together, or its availability zone. */
	getOwnShard(): string;
	isDivided(): boolean;
	/** Divides if there are many backend servers, or if another daemon has divided. Returns true if it did just now. */
	divideIfDue(serverCount: number, isOtherDivided: boolean): boolean;
	/** Notes who places in another shard, and how long jobs wait there. */
	updateOtherShard(shard: string, view: PlacerView, loadMs: number | undefined): void;
	findOtherView(shard: string): PlacerView | undefined;
	/** Finds another shard in which a job would hardly wait. */
	findIdleShard(): string | undefined;
};

/** A shard in which jobs wait less than this takes jobs of others. */
const idleLoadMs = 30;

type OtherShard = {
	view: PlacerView;
	loadMs: number;
};

/**
 * Creates the map. One placer for all backend servers leaves the fewest holes, so a deployment is divided only when it
 * is large; then each availability zone has a placer of its own, and jobs that it refuses go to an idle one. Dividing is
 * not undone while the process lives: daemons that disagree would claim the same backend servers in turn.
 * @param availabilityZone - The zone of this daemon.
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
