import {maxTasksPerJob} from '@camphortack/core';
import {getObjectName} from '../objects/object-kinds.js';
import type {LimitObject} from '../objects/object-schemas.js';
import type {CheckContext} from './check-context.js';

/** The share of every declared limit that is assigned to an availability zone. */
type ZoneShare = {
	zone: string;
	ratio: number;
};

/** If no availability zones are declared, limits are not divided. */
const undividedShare: ZoneShare = {zone: 'any', ratio: 1};

/** The maximum number of tasks that one key of a limit admits at once. */
type AdmissionBound = {
	object: string;
	key: string;
	maxTasksAtOnce: number | undefined;
	hint: string;
};

/** Reports limits that set no bound, and limits whose smallest share cannot admit a task or a large job. */
export function checkLimits(context: CheckContext): void {
	const smallestShare = findSmallestShare(context);
	for (const [name, limit] of Object.entries(context.objects.limits)) {
		const object = getObjectName('limit', name);
		if (limit.tasksPerSecond === undefined && limit.tasksInFlight === undefined && limit.workerSecondsPerHour === undefined) {
			context.addError('empty-limit', object, undefined, 'sets none of tasksPerSecond, tasksInFlight and workerSecondsPerHour');
		}

		checkAdmission({
			object,
			key: 'tasksPerSecond',
			maxTasksAtOnce: findBurstSize(limit),
			hint: '; raise it or burstSeconds',
		}, smallestShare, context);
		checkAdmission({
			object,
			key: 'tasksInFlight',
			maxTasksAtOnce: limit.tasksInFlight,
			hint: '',
		}, smallestShare, context);
	}
}

/** A rate always admits at least one task at once, however long the next task then has to wait. */
function findBurstSize({tasksPerSecond, burstSeconds}: LimitObject): number | undefined {
	return tasksPerSecond === undefined ? undefined : Math.max(1, Math.floor(tasksPerSecond * burstSeconds));
}

function findSmallestShare(context: CheckContext): ZoneShare | undefined {
	const zones = Object.entries(context.objects.availabilityZones);
	const totalWeight = zones.reduce((total, [, zone]) => total + zone.limitWeight, 0);
	const [firstZone] = zones;
	if (firstZone !== undefined && totalWeight === 0) {
		const message = 'every availability zone has limitWeight 0, so no limit can be divided among them';
		context.addError('no-share', getObjectName('availability-zone', firstZone[0]), 'limitWeight', message);
		return undefined;
	}

	const shares = zones
		.filter(([, zone]) => zone.limitWeight > 0)
		.map(([name, zone]) => ({zone: name, ratio: zone.limitWeight / totalWeight}));
	return shares.toSorted((left, right) => left.ratio - right.ratio)[0];
}

function checkAdmission(bound: AdmissionBound, smallestShare: ZoneShare | undefined, context: CheckContext): void {
	const {object, key, maxTasksAtOnce, hint} = bound;
	if (maxTasksAtOnce === undefined) {
		return;
	}

	const {zone, ratio} = smallestShare ?? undividedShare;
	const share = maxTasksAtOnce * ratio;
	if (share < 1) {
		const message = `gives availability zone "${zone}" a share of ${Math.round(share * 100) / 100} tasks at once, so the zone can never start a task${hint}`;
		context.addError('share-too-small', object, key, message);
	} else if (share < maxTasksPerJob) {
		const message = `a job of more than ${Math.floor(share)} tasks is always refused in availability zone "${zone}"${hint}`;
		context.addWarning('limit-below-largest-job', object, key, message);
	}
}
