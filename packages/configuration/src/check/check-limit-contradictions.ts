import {getObjectName} from '../objects/object-kinds.js';
import type {LimitObject, ServiceObject} from '../objects/object-schemas.js';
import {findOwn} from '../utils/find-own.js';
import type {CheckContext} from './check-context.js';
import {getServicePools} from './get-service-pools.js';

const measures = ['tasksPerSecond', 'tasksInFlight', 'workerSecondsPerHour'] as const satisfies ReadonlyArray<keyof LimitObject>;

type Measure = typeof measures[number];

type LimitHolder = {limits: readonly string[]};

type NamedLimit = {
	name: string;
	limit: LimitObject;
};

/** Reports limits that another limit keeps from ever taking effect, and rates that the hourly bound cannot carry. */
export function checkLimitContradictions(context: CheckContext): void {
	const {pools, services, customers} = context.objects;
	checkHolders('pool', pools, context);
	checkHolders('service', services, context);
	checkHolders('customer', customers, context);

	for (const [name, poolNames] of getServicePools(context.objects)) {
		const service = services[name]!;
		checkServiceAgainstPools(name, service, poolNames, context);
		checkServiceCost(name, service, context);
	}
}

function checkHolders(kind: string, holders: Readonly<Record<string, LimitHolder>>, context: CheckContext): void {
	for (const [name, holder] of Object.entries(holders)) {
		checkHolder(getObjectName(kind, name), holder.limits, context);
	}
}

function checkHolder(object: string, limitNames: readonly string[], context: CheckContext): void {
	const limits = getNamedLimits(limitNames, context);
	for (const measure of measures) {
		const ordered = limits.filter(({limit}) => limit[measure] !== undefined).toSorted((left, right) => left.limit[measure]! - right.limit[measure]!);
		const [tightest, ...others] = ordered;
		const ineffective = others.find(other => !isEffectiveBeside(other.limit, tightest!.limit, measure));
		if (ineffective !== undefined) {
			const message = `limit "${ineffective.name}" never takes effect: limit "${tightest!.name}" sets a smaller ${measure} for the same ${object}`;
			context.addError('limit-contradiction', object, 'limits', message);
		}
	}
}

/** A higher rate still matters if its burst is smaller. */
function isEffectiveBeside(looser: LimitObject, tighter: LimitObject, measure: Measure): boolean {
	return measure === 'tasksPerSecond'
		&& looser.tasksPerSecond! * looser.burstSeconds < tighter.tasksPerSecond! * tighter.burstSeconds;
}

function checkServiceAgainstPools(serviceName: string, service: ServiceObject, poolNames: ReadonlySet<string>, context: CheckContext): void {
	const object = getObjectName('service', serviceName);
	for (const measure of measures) {
		const ownBound = getBound(service.limits, measure, context);
		const poolBounds = [...poolNames].map(pool => getBound(findOwn(context.objects.pools, pool)?.limits ?? [], measure, context));
		const poolBound = poolBounds.reduce((total, bound) => total + bound, 0);
		if (ownBound !== Number.POSITIVE_INFINITY && ownBound > poolBound) {
			const message = `allow ${ownBound} ${measure}, but the limits of its pools (${[...poolNames].join(', ')}) allow only ${poolBound}`;
			context.addError('limit-contradiction', object, 'limits', message);
		}
	}
}

function checkServiceCost(serviceName: string, service: ServiceObject, context: CheckContext): void {
	const rate = getBound(service.limits, 'tasksPerSecond', context);
	const hourlyBound = getBound(service.limits, 'workerSecondsPerHour', context);
	const hourlyUse = rate * 3600 * service.declaredRunTimeMs / 1000;
	if (Number.isFinite(hourlyUse) && hourlyUse > hourlyBound) {
		const message = `allow ${rate} tasksPerSecond, which at ${service.declaredRunTimeMs} ms a task is ${hourlyUse} workerSecondsPerHour, but only ${hourlyBound} are declared`;
		context.addWarning('rate-above-cost', getObjectName('service', serviceName), 'limits', message);
	}
}

function getBound(limitNames: readonly string[], measure: Measure, context: CheckContext): number {
	const bounds = getNamedLimits(limitNames, context).map(({limit}) => limit[measure] ?? Number.POSITIVE_INFINITY);
	return Math.min(...bounds, Number.POSITIVE_INFINITY);
}

function getNamedLimits(limitNames: readonly string[], context: CheckContext): NamedLimit[] {
	return [...new Set(limitNames)].flatMap(name => {
		const limit = findOwn(context.objects.limits, name);
		return limit === undefined ? [] : [{name, limit}];
	});
}
