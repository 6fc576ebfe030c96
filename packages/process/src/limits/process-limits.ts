/** What a process may use on its VM. */
export type ProcessResources = {
	memoryMb: number;
	maxFds: number;
};

/** Bounds on what clients and peers can make a process keep. docs/design/client-limits.md lists what each is for. */
export type ProcessLimits = {
	/** For the requests of callers, backend servers and operators: bodies, open requests and unread responses. */
	requestMemoryBytes: number;
	/** For the requests at the addresses for readiness checks and metrics. */
	statusMemoryBytes: number;
	/** For the messages of peers that are not complete. */
	peerMemoryBytes: number;
	/** For the open jobs of a placer, with their tasks, and the results that it keeps. */
	openJobMemoryBytes: number;
	/** At each address for callers, backend servers and operators. */
	maxConnections: number;
	/** At each address for readiness checks and metrics. */
	maxStatusConnections: number;
	maxPeerConnections: number;
	/** That announce themselves. */
	maxBackendServers: number;
};

const bytesPerMb = 1_048_576;
const requestMemoryShare = 1 / 8;
const statusMemoryShare = 1 / 64;
const peerMemoryShare = 1 / 16;
const openJobMemoryShare = 1 / 6;
/** An open connection takes up to 20 KB, without what it has sent. */
const maxConnectionsPerMb = 8;
/** A backend server that a placer claims takes up to 30 KB. */
const maxBackendServersPerMb = 8;
const connectionFdShare = 1 / 2;
const statusFdShare = 1 / 32;
const peerFdShare = 1 / 8;

/**
 * Gets the bounds of a process as shares of what it may use.
 * @param resources - What it may use.
 *
 * @example
 * ```ts
 * getProcessLimits({memoryMb: 350, maxFds: 4100}).maxConnections; // 2050
 * ```
 */
export function getProcessLimits({memoryMb, maxFds}: ProcessResources): ProcessLimits {
	const getMemoryBytes = (share: number) => Math.floor(memoryMb * bytesPerMb * share);
	return {
		requestMemoryBytes: getMemoryBytes(requestMemoryShare),
		statusMemoryBytes: getMemoryBytes(statusMemoryShare),
		peerMemoryBytes: getMemoryBytes(peerMemoryShare),
		openJobMemoryBytes: getMemoryBytes(openJobMemoryShare),
		maxConnections: Math.floor(Math.min(maxFds * connectionFdShare, memoryMb * maxConnectionsPerMb)),
		maxStatusConnections: Math.floor(maxFds * statusFdShare),
		maxPeerConnections: Math.floor(maxFds * peerFdShare),
		maxBackendServers: Math.floor(memoryMb * maxBackendServersPerMb),
	};
}
