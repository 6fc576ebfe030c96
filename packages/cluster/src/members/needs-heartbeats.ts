/** A daemon as the choice of receivers sees it. */
export type HeartbeatPeer = {
	availabilityZone: string;
	isKeeper: boolean;
	/** Whether it places the tasks of its shard. */
	isPlacing: boolean;
};

export type HeartbeatScope = {
	/** Whether each availability zone has a placer of its own. */
	isDivided: boolean;
	/** Whether a keeper of the own availability zone is heard. */
	hearsLocalKeeper: boolean;
};

/**
 * Whether two daemons exchange heartbeats all the time. All do in a small deployment. In a divided one, those of an
 * availability zone elect their placer among themselves; between zones, keepers tell each other of versions and backend
 * servers, and placers tell everybody where jobs may be forwarded to. A daemon that hears no keeper of its zone asks
 * those of other zones. Answers large deployments, in which heartbeats between all would take more processor time than
 * the jobs.
 * @param own - This daemon.
 * @param other - Another one.
 * @param reach - The deployment.
 *
 * @example
 * ```ts
 * const entry = {availabilityZone: 'a', isKeeper: false, isPlacing: false};
 * needsHeartbeats(entry, {...entry, availabilityZone: 'b'}, {isDivided: true, hearsNearKeeper: true}); // false
 * ```
 */
export function needsHeartbeats(own: HeartbeatPeer, other: HeartbeatPeer, {isDivided, hearsLocalKeeper}: HeartbeatScope): boolean {
	if (!isDivided || own.availabilityZone === other.availabilityZone) {
		return true;
	}

	const needsRemoteKeeper = !hearsLocalKeeper && other.isKeeper;
	return own.isPlacing || other.isPlacing || needsRemoteKeeper || (own.isKeeper && other.isKeeper);
}
