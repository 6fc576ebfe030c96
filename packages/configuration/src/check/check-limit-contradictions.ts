import {getObjectName} from '../objects/object-kinds.js';
import type {LimitObject, ServiceObject} from '../objects/object-schemas.js';
import {findOwn} from '../utils/find-own.js';
import type {CheckContext} from './check-context.js';
import {getReferences} from './get-references.js';
import {getServicePools} from './get-service-pools.js';

const dimensions = ['tasksPerSecond', 'tasksInFlight', 'workerSecondsPerHour'] as const satisfies ReadonlyArray<keyof LimitObject>;

type LimitDimensionName = typeof dimensions[number];

type LimitHolder = {limits: readonly string[]};

type NamedLimit = {
	name: string;
	limit: LimitObject;
};

/** Reports limits that can never take effect because of another limit, and rates that exceed the hourly limit on slot time. */
export function checkLimitContradictions(context: CheckContext): void {
	const {pools, services, customers} = context.objects;
	const ownLimits = getOwnLimits(context);
	for (const [kind, holders] of [['pool', pools], ['service', services], ['customer', customers]] as const) {
		checkHolders(kind, holders, ownLimits, context);
	}

	for (const [name, poolNames] of getServicePools(context.objects)) {
		const service = services[name]!;
		if (service.limits.length > 0) {
			const limitNames = service.limits.filter(limit => ownLimits.has(limit));
			checkServiceAgainstPools(name, limitNames, poolNames, context);
			checkServiceCost(name, {...service, limits: limitNames}, context);
		}
	}
}

/**
 * Gets the limits that only one object refers to. A limit shared by several objects applies to their sum,
 * so it can take effect even if its value is larger than that of another limit of one of them.
 */
function getOwnLimits(context: CheckContext): Set<string> {
	const ownLimits = new Set<string>();
	const sharedLimits = new Set<string>();
	for (const {targetKind, targetNames} of getReferences(context.objects)) {
		for (const name of targetKind === 'limit' ? new Set(targetNames) : []) {
			(ownLimits.has(name) ? sharedLimits : ownLimits).add(name);
		}
	}

	return new Set([...ownLimits].filter(name => !sharedLimits.has(name)));
}

function checkHolders(kind: string, holders: Readonly<Record<string, LimitHolder>>, ownLimits: ReadonlySet<string>, context: CheckContext): void {
	for (const [name, holder] of Object.entries(holders)) {
		if (holder.limits.length > 1) {
			checkHolder(getObjectName(kind, name), holder.limits, ownLimits, context);
		}
	}
}

function checkHolder(object: string, limitNames: readonly string[], ownLimits: ReadonlySet<string>, context: CheckContext): void {
	const limits = getNamedLimits(limitNames, context);
	for (const dimension of dimensions) {
		const ordered = limits.filter(({limit}) => limit[dimension] !== undefined).toSorted((left, right) => left.limit[dimension]! - right.limit[dimension]!);
		const [tightest, ...others] = ordered;
		const ineffective = others.find(other => ownLimits.has(other.name) && !isEffectiveDespite(other.limit, tightest!.limit, dimension));
		if (ineffective !== undefined) {
			const message = `limit "${ineffective.name}" never takes effect: limit "${tightest!.name}" sets a smaller ${dimension} for the same ${object}`;
			context.addError('limit-contradiction', object, 'limits', message);
		}
	}
}

/** A limit with a higher rate still takes effect if its burst is smaller. */
function isEffectiveDespite(looser: LimitObject, tighter: LimitObject, dimension: LimitDimensionName): boolean {
	return dimension === 'tasksPerSecond'
		&& looser.tasksPerSecond! * looser.burstSeconds < tighter.tasksPerSecond! * tighter.burstSeconds;
}

function checkServiceAgainstPools(serviceName: string, limitNames: readonly string[], poolNames: ReadonlySet<string>, context: CheckContext): void {
	const object = getObjectName('service', serviceName);
	for (const dimension of dimensions) {
		const ownBound = getBound(limitNames, dimension, context);
		const poolBounds = [...poolNames].map(pool => getBound(findOwn(context.objects.pools, pool)?.limits ?? [], dimension, context));
		const poolBound = poolBounds.reduce((total, bound) => total + bound, 0);
		if (ownBound !== Number.POSITIVE_INFINITY && ownBound > poolBound) {
			const message = `allow ${ownBound} ${dimension}, but the limits of its pools (${[...poolNames].join(', ')}) allow only ${poolBound}`;
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

function getBound(limitNames: readonly string[], dimension: LimitDimensionName, context: CheckContext): number {
	const bounds = getNamedLimits(limitNames, context).map(({limit}) => limit[dimension] ?? Number.POSITIVE_INFINITY);
	return Math.min(...bounds, Number.POSITIVE_INFINITY);
}

function getNamedLimits(limitNames: readonly string[], context: CheckContext): NamedLimit[] {
	return [...new Set(limitNames)].flatMap(name => {
		const limit = findOwn(context.objects.limits, name);
		return limit === undefined ? [] : [{name, limit}];
	});
}
