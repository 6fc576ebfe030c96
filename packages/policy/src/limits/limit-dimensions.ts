import type {ConfigurationObjects, LimitObject} from '@camphortack/configuration';
import type {RefusalCode} from '@camphortack/core';

export type LimitResource = 'rate' | 'in-flight' | 'worker-seconds';

/** One value of a declared limit, as an amount that may be held at once in all availability zones together. */
export type LimitDimension = {
	/** The name of the limit and the resource, such as `walnut/rate`. */
	readonly key: string;
	readonly limit: string;
	readonly resource: LimitResource;
	readonly capacity: number;
	/** How long an amount remains held after its use. */
	readonly windowMs: number;
	/** The maximum time, counted from its start, for which a use may continue after daemons have stopped reporting it. */
	readonly holdMs: number;
	/** Whether only whole units are usable. */
	readonly isWhole: boolean;
	readonly code: RefusalCode;
	readonly retryAfterMs: number;
};

/** Worker-seconds are limited in every window of this length, and therefore in every hour. */
const workerSecondsWindowMs = 600_000;
const millisecondsPerHour = 3_600_000;
const roundingTolerance = 1e-9;
/** A larger limit counts as this one, so that sums of its shares fit into the messages between daemons. */
const maxCapacity = 1e11;

/**
 * Gets the dimensions of each declared limit, by name of the limit.
 * @param objects - The active configuration.
 * @param holdMs - The maximum time that a started task may run.
 */
export function getLimitDimensions(objects: ConfigurationObjects, holdMs: number): Map<string, LimitDimension[]> {
	return new Map(Object.entries(objects.limits).map(([name, limit]) => [name, getDimensions(name, limit, holdMs)]));
}

function getDimensions(name: string, limit: LimitObject, holdMs: number): LimitDimension[] {
	const dimensions: LimitDimension[] = [];
	if (limit.tasksPerSecond !== undefined) {
		dimensions.push(getRateDimension(name, limit.tasksPerSecond, limit.burstSeconds));
	}

	if (limit.tasksInFlight !== undefined) {
		dimensions.push({
			key: `${name}/in-flight`,
			limit: name,
			resource: 'in-flight',
			capacity: Math.min(limit.tasksInFlight, maxCapacity),
			windowMs: 0,
			holdMs,
			isWhole: true,
			code: 'limit-in-flight',
			retryAfterMs: 500,
		});
	}

	if (limit.workerSecondsPerHour !== undefined) {
		dimensions.push({
			key: `${name}/worker-seconds`,
			limit: name,
			resource: 'worker-seconds',
			capacity: Math.min(limit.workerSecondsPerHour * workerSecondsWindowMs / millisecondsPerHour, maxCapacity),
			windowMs: workerSecondsWindowMs,
			holdMs,
			isWhole: false,
			code: 'limit-worker-seconds',
			retryAfterMs: 60_000,
		});
	}

	return dimensions;
}

/** A start is held for the time in which the rate replenishes the whole burst. */
function getRateDimension(name: string, tasksPerSecond: number, burstSeconds: number): LimitDimension {
	const rate = Math.min(tasksPerSecond, maxCapacity / burstSeconds);
	const capacity = Math.max(1, Math.floor((rate * burstSeconds) + roundingTolerance));
	const windowMs = capacity / rate * 1000;
	return {
		key: `${name}/rate`,
		limit: name,
		resource: 'rate',
		capacity,
		windowMs,
		holdMs: 0,
		isWhole: true,
		code: 'limit-rate',
		retryAfterMs: Math.min(1000, windowMs),
	};
}
