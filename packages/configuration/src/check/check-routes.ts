import {getObjectName} from '../objects/object-kinds.js';
import type {RouteObject} from '../objects/object-schemas.js';
import {findOwn} from '../utils/find-own.js';
import type {CheckContext} from './check-context.js';

/** Reports routes that have no effect, routes that conflict, and routes for customers that may not call the service. */
export function checkRoutes(context: CheckContext): void {
	const routesByTask = new Map<string, string>();
	for (const [name, route] of Object.entries(context.objects.routes)) {
		const object = getObjectName('route', name);
		if (findOwn(context.objects.services, route.service)?.pool === route.pool) {
			context.addError('route-without-effect', object, 'pool', `service "${route.service}" already uses pool "${route.pool}"`);
		}

		checkCustomers(object, route, routesByTask, context);
	}
}

function checkCustomers(object: string, route: RouteObject, routesByTask: Map<string, string>, context: CheckContext): void {
	for (const customer of new Set(route.customers)) {
		const taskKey = `${route.service} ${customer}`;
		const other = routesByTask.get(taskKey);
		if (other === undefined) {
			routesByTask.set(taskKey, object);
		} else {
			context.addError('route-conflict', object, 'customers', `${other} already routes service "${route.service}" for customer "${customer}"`);
		}

		const services = findOwn(context.objects.customers, customer)?.services ?? [];
		if (services.length > 0 && !services.includes(route.service)) {
			context.addError('route-not-allowed', object, 'customers', `customer "${customer}" may not call service "${route.service}"`);
		}
	}
}
