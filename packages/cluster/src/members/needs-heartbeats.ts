/** The properties of a daemon that decide with whom it exchanges heartbeats. */
export type HeartbeatPeer = {
	availabilityZone: string;
	isKeeper: boolean;
	/** Whether it is the placer of its shard. */
	isPlacing: boolean;
};

/** The state of the deployment that decides which daemons exchange heartbeats. */
export type HeartbeatScope = {
	/** Whether each availability zone has a placer of its own. */
	isDivided: boolean;
	/** Whether this daemon is a keeper or hears one of its availability zone. */
	hearsLocalKeeper: boolean;
};

/**
 * Whether two daemons exchange heartbeats regularly. In an undivided deployment, all do. In a divided one, the daemons of
 * an availability zone do, to elect their placer. Between zones, keepers do, to exchange configuration versions and
 * backend servers, and placers do with all daemons, to announce where jobs may be forwarded. A daemon that hears no
 * keeper of its zone contacts those of other zones. In large deployments, heartbeats between all daemons would take more
 * processor time than the jobs.
 * @param own - This daemon.
 * @param other - The other daemon.
 * @param scope - The state of the deployment.
 *
 * @example
 * ```ts
 * const entry = {availabilityZone: 'a', isKeeper: false, isPlacing: false};
 * needsHeartbeats(entry, {...entry, availabilityZone: 'b'}, {isDivided: true, hearsLocalKeeper: true}); // false
 * ```
 */
export function needsHeartbeats(own: HeartbeatPeer, other: HeartbeatPeer, {isDivided, hearsLocalKeeper}: HeartbeatScope): boolean {
	if (!isDivided || own.availabilityZone === other.availabilityZone) {
		return true;
	}

	const needsRemoteKeeper = !hearsLocalKeeper && other.isKeeper;
	return own.isPlacing || other.isPlacing || needsRemoteKeeper || (own.isKeeper && other.isKeeper);
}
