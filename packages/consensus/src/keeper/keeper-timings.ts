/** The times that depend on how fast the VMs and links of a deployment are. */
export type KeeperTimings = {
	/** How often the leader sends to each voter. */
	heartbeatMs: number;
	/** A voter asks for votes after a silence of the leader between these two. */
	minElectionTimeoutMs: number;
	maxElectionTimeoutMs: number;
	/** A leader that has not heard a majority for this long steps down. */
	quorumTimeoutMs: number;
	/** How often a keeper without a place in the set asks for one. */
	joinIntervalMs: number;
	/** How long a barrier may take. */
	barrierTimeoutMs: number;
	/** How often a document is sent again towards the leader. */
	documentResendMs: number;
	/** How long agreement on a document may take before its outcome is reported as unknown. */
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

/** How often the leader sends to a learner that lacks nothing. */
export const learnerHeartbeatMs = 5000;
/** How long committed entries are gathered before they go to the learners. */
export const learnerBatchMs = 250;
/** How long a learner may lack a committed entry before the leader sends it itself, in place of the voter that should. */
export const feedTimeoutMs = 1500;
/** How long the leader waits for a learner or for a piece of a snapshot before it sends again. */
export const resendMs = 1000;
/** How long a publish may take before its outcome is reported as unknown. */
export const publishTimeoutMs = 5000;
/** How often a publish is sent again; its id makes that idempotent. */
export const publishResendMs = 750;
/** The most voters; further keepers are learners, which serve their availability zone. */
export const defaultMaxVoters = 5;
/** The most entries in one message. */
export const maxEntriesPerMessage = 64;
/** The most bytes of entries in one message, unless one entry alone is larger. */
export const maxBytesPerMessage = 262_144;
/** The size of a piece of a snapshot. */
export const snapshotPieceBytes = 65_536;
/** The log is compacted when it holds more applied entries or bytes than this. */
export const maxAppliedEntries = 512;
export const maxAppliedBytes = 4_194_304;
/** Applied entries that stay in the log for keepers that are a little behind. */
export const retainedEntries = 64;
/** The most publishes that wait at the leader. */
export const maxPendingPublishes = 256;
