import type {TimerService} from '@camphortack/core';
import type {RequestGuardOptions} from '../http/request-guard.js';
import {createMemoryBudget} from '../memory/memory-budget.js';
import {createLimitLog, type LimitLogOptions} from './limit-log.js';
import {getProcessLimits, type ProcessResources} from './process-limits.js';

/** The bounds of the HTTP servers of a process. */
export type RequestLimits = {
	/** At each address for callers, backend servers and operators, which share their memory. */
	requests: RequestGuardOptions;
	/** At each address for readiness checks and metrics, which respond while the others are at their bounds. */
	status: RequestGuardOptions;
};

/**
 * Creates the bounds on what the clients of HTTP servers can make a process keep.
 * @param resources - What the process may use.
 * @param options - The clock, and where events and counters go.
 *
 * @example
 * ```ts
 * createRequestLimits({memoryMb: 350, maxFds: 4100}, {timers, events, metrics}).requests.maxConnections; // 2050
 * ```
 */
export function createRequestLimits(resources: ProcessResources, options: LimitLogOptions & {timers: TimerService}): RequestLimits {
	const {timers} = options;
	const limitLog = createLimitLog(options);
	const limits = getProcessLimits(resources);
	return {
		requests: {
			maxConnections: limits.maxConnections, memory: createMemoryBudget({maxBytes: limits.requestMemoryBytes, timers}), limitLog, timers,
		},
		status: {
			maxConnections: limits.maxStatusConnections, memory: createMemoryBudget({maxBytes: limits.statusMemoryBytes, timers}), limitLog, timers,
		},
	};
}
