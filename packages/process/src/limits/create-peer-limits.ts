import {createMemoryBudget} from '../memory/memory-budget.js';
import type {PeerLimits} from '../peers/tcp-peer-network.js';
import {createLimitLog, type LimitLogOptions} from './limit-log.js';
import {getProcessLimits, type ProcessResources} from './process-limits.js';

/**
 * Creates the bounds on what peers can make a process keep.
 * @param resources - What the process may use.
 * @param options - The clock, and where events and counters go.
 *
 * @example
 * ```ts
 * createPeerLimits({memoryMb: 350, maxFds: 4100}, {timers, events, metrics}).maxConnections; // 512
 * ```
 */
export function createPeerLimits(resources: ProcessResources, options: LimitLogOptions): PeerLimits {
	const {maxPeerConnections, peerMemoryBytes} = getProcessLimits(resources);
	return {
		maxConnections: maxPeerConnections,
		memory: createMemoryBudget({maxBytes: peerMemoryBytes, timers: options.timers}),
		limitLog: createLimitLog(options),
	};
}
