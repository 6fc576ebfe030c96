import type {ConfigurationObjects, LimitObject} from '@camphortack/configuration';
import type {RefusalCode} from '@camphortack/core';

/** What is counted. */
export type LimitResource = 'rate' | 'in-flight' | 'worker-seconds';

/** One figure of a declared limit, as an amount that may be held at once in all availability zones together. */
export type LimitDimension = {
	/** The limit's name and the resource, as `walnut/rate`. */
	readonly key: string;
	readonly limit: string;
	readonly resource: LimitResource;
	readonly capacity: number;
	/** How long an amount stays held after its use. */
	readonly lagMs: number;
	/** How long after a start a use may go on that nobody reports any more. */
	readonly holdMs: number;
	/** Whether only whole units are of use. */
	readonly isWhole: boolean;
	readonly code: RefusalCode;
	readonly retryAfterMs: number;
};

/** Worker-seconds are bounded in every span of this length, and so in every hour. */
const workerSecondsSpanMs = 600_000;
const millisecondsPerHour = 3_600_000;
const roundingTolerance = 1e-9;

/**
 * Gets the dimensions of every declared limit, by limit.
 * @param objects - The configuration in force.
 * @param holdMs - The longest time that a started task may go on.
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
			capacity: limit.tasksInFlight,
			lagMs: 0,
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
			capacity: limit.workerSecondsPerHour * workerSecondsSpanMs / millisecondsPerHour,
			lagMs: workerSecondsSpanMs,
			holdMs,
			isWhole: false,
			code: 'limit-worker-seconds',
			retryAfterMs: 60_000,
		});
	}

	return dimensions;
}

/** A start is held for as long as the rate needs to allow the whole burst again. */
function getRateDimension(name: string, tasksPerSecond: number, burstSeconds: number): LimitDimension {
	const capacity = Math.max(1, Math.floor((tasksPerSecond * burstSeconds) + roundingTolerance));
	const lagMs = capacity / tasksPerSecond * 1000;
	return {
		key: `${name}/rate`,
		limit: name,
		resource: 'rate',
		capacity,
		lagMs,
		holdMs: 0,
		isWhole: true,
		code: 'limit-rate',
		retryAfterMs: Math.min(1000, lagMs),
	};
}
