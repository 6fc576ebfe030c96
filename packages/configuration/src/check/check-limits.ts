import {mostTasksPerJob} from '@camphortack/core';
import {getObjectName} from '../objects/object-kinds.js';
import type {CheckContext} from './check-context.js';

/** The part of every declared limit that an availability zone gets. */
type ZoneShare = {
	zone: string;
	ratio: number;
};

/** How many tasks one key of a limit admits at once. */
type AdmissionBound = {
	object: string;
	key: string;
	tasksAtOnce: number | undefined;
	hint: string;
};

/** Reports limits that bound nothing, that admit nothing, or whose shares are too small to start a task. */
export function checkLimits(context: CheckContext): void {
	const smallestShare = findSmallestShare(context);
	for (const [name, limit] of Object.entries(context.objects.limits)) {
		const object = getObjectName('limit', name);
		if (limit.tasksPerSecond === undefined && limit.tasksInFlight === undefined && limit.workerSecondsPerHour === undefined) {
			context.addError('empty-limit', object, undefined, 'sets none of tasksPerSecond, tasksInFlight and workerSecondsPerHour');
		}

		const burstTasks = limit.tasksPerSecond === undefined ? undefined : limit.tasksPerSecond * limit.burstSeconds;
		checkAdmission({
			object,
			key: 'tasksPerSecond',
			tasksAtOnce: burstTasks,
			hint: '; raise it or burstSeconds',
		}, smallestShare, context);
		checkAdmission({
			object,
			key: 'tasksInFlight',
			tasksAtOnce: limit.tasksInFlight,
			hint: '',
		}, smallestShare, context);
	}
}

function findSmallestShare(context: CheckContext): ZoneShare | undefined {
	const zones = Object.entries(context.objects.availabilityZones);
	const totalWeight = zones.reduce((total, [, zone]) => total + zone.limitWeight, 0);
	const [firstZone] = zones;
	if (firstZone !== undefined && totalWeight === 0) {
		const message = 'every availability zone has weight 0, so no limit can be shared out';
		context.addError('no-share', getObjectName('availability-zone', firstZone[0]), 'limitWeight', message);
		return undefined;
	}

	const shares = zones
		.filter(([, zone]) => zone.limitWeight > 0)
		.map(([name, zone]) => ({zone: name, ratio: zone.limitWeight / totalWeight}));
	return shares.toSorted((left, right) => left.ratio - right.ratio)[0];
}

function checkAdmission(bound: AdmissionBound, smallestShare: ZoneShare | undefined, context: CheckContext): void {
	const {object, key, tasksAtOnce, hint} = bound;
	if (tasksAtOnce === undefined) {
		return;
	}

	if (tasksAtOnce < 1) {
		context.addError('limit-admits-nothing', object, key, `admits ${formatTasks(tasksAtOnce)} at once, so no task could ever start${hint}`);
	} else if (smallestShare !== undefined && tasksAtOnce * smallestShare.ratio < 1) {
		const share = formatTasks(tasksAtOnce * smallestShare.ratio);
		const message = `leaves availability zone "${smallestShare.zone}" a share of ${share} at once, so no task could ever start there${hint}`;
		context.addError('share-too-small', object, key, message);
	} else if (tasksAtOnce < mostTasksPerJob) {
		context.addWarning('limit-below-largest-job', object, key, `a job of more than ${Math.floor(tasksAtOnce)} tasks is always refused${hint}`);
	}
}

function formatTasks(count: number): string {
	return `${Math.round(count * 100) / 100} tasks`;
}
