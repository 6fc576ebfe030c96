/** The timings that depend on the speed of the VMs and the network of a deployment. */
export type KeeperTimings = {
	/** The interval between heartbeats of the leader to each voter. */
	heartbeatMs: number;
	/** The bounds of the random election timeout: a voter without contact to the leader for that long starts an election. */
	minElectionTimeoutMs: number;
	maxElectionTimeoutMs: number;
	/** A leader without contact to a majority for this long steps down. */
	quorumTimeoutMs: number;
	/** How often a keeper that is not a member of the set asks to be added. */
	joinIntervalMs: number;
	/** The timeout of a barrier. */
	barrierTimeoutMs: number;
	/** How often a document is resent to the leader. */
	documentResendMs: number;
	/** How long it may take to commit a document before the outcome is reported as unknown. */
	documentTimeoutMs: number;
};

export const defaultKeeperTimings: KeeperTimings = {
	heartbeatMs: 500,
	minElectionTimeoutMs: 1500,
	maxElectionTimeoutMs: 3000,
	quorumTimeoutMs: 1500,
	joinIntervalMs: 1000,
	barrierTimeoutMs: 1000,
	documentResendMs: 750,
	documentTimeoutMs: 5000,
};

/** Leaves the rest of the time to an election, if the lost voter led, and to the log of the learner. */
const voterReplacementShare = 0.25;

/**
 * Gets how long a voter may be silent before it is replaced by a learner, so that the successor of a lost one votes in time.
 * @param catchUpMs - The time after its start after which a successor is counted on.
 *
 * @example
 * ```ts
 * getVoterReplacementMs(4000); // 1000
 * ```
 */
export function getVoterReplacementMs(catchUpMs: number): number {
	return catchUpMs * voterReplacementShare;
}

/** The heartbeat interval of the leader for a learner that is up to date. */
export const learnerHeartbeatMs = 5000;
/** How long committed entries are batched before they are sent to the learners. */
export const learnerBatchMs = 250;
/** How long a learner may lack a committed entry before the leader sends the entry itself, instead of the voter that is responsible. */
export const feedTimeoutMs = 1500;
/** How long the leader waits for a response of a learner, or to a piece of a snapshot, before it resends. */
export const resendMs = 1000;
/** How long a publish may take before the outcome is reported as unknown. */
export const publishTimeoutMs = 5000;
/** How often a publish is resent. Its id makes resending idempotent. */
export const publishResendMs = 750;
/** The default maximum number of voters. Further keepers are learners, which serve their availability zone. */
export const defaultMaxVoters = 5;
/** The maximum number of entries in a message. */
export const maxEntriesPerMessage = 64;
/** The maximum size of the entries in a message. A single entry may exceed it. */
export const maxBytesPerMessage = 262_144;
/** The size of a piece of a snapshot. */
export const snapshotPieceBytes = 65_536;
/** The log is compacted when the number or the size of its applied entries exceeds these limits. */
export const maxAppliedEntries = 512;
export const maxAppliedBytes = 4_194_304;
/** The number of applied entries that compaction retains for keepers that lag slightly. */
export const retainedEntries = 64;
/** The maximum number of publishes that are queued at the leader. */
export const maxPendingPublishes = 256;
