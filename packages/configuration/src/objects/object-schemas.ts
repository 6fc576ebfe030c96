import {z} from 'zod';
import {nameSchema, taskNeedsSchema} from '@camphortack/core';

const {shape: needs} = taskNeedsSchema;
const describedNeedsSchema = z.strictObject({
	processors: needs.processors.describe('Processors (cores).'),
	memoryMegabytes: needs.memoryMegabytes.describe('Memory.'),
	accelerators: needs.accelerators.describe('Accelerators.'),
});
const limitsSchema = z.array(nameSchema).default([]);

/** The SHA-256 hash of a token, in hexadecimal. */
export const tokenHashSchema = z.string().regex(/^[\da-f]{64}$/v).meta({form: '64 hexadecimal digits'});

/** An availability zone with its own entry VMs and backend servers. */
export const availabilityZoneSchema = z.strictObject({
	region: nameSchema.default('default')
		.describe('The region of the availability zone.'),
	limitWeight: z.number().min(0).max(1000).default(1)
		.describe('This zone\'s share of each declared limit, relative to the other zones.'),
});

/** Backend servers that serve the same services. */
export const poolSchema = z.strictObject({
	availabilityZones: z.array(nameSchema).default([])
		.describe('The availability zones whose backend servers belong to the pool; if empty, all zones.'),
	largestEjectedShare: z.number().min(0).max(1).default(0.3)
		.describe('The maximum share of the pool\'s backend servers that may be ejected at the same time.'),
	largestBackendServer: describedNeedsSchema.optional()
		.describe('The resources of the largest backend server in the pool; a task that needs more never fits.'),
	limits: limitsSchema
		.describe('The limits that apply to all tasks in the pool together.'),
});

/** A type of task, run by the backend servers of one pool. */
export const serviceSchema = z.strictObject({
	pool: nameSchema
		.describe('The pool whose backend servers run the tasks.'),
	declaredNeeds: describedNeedsSchema.optional()
		.describe('The maximum resources that a task of this service requests; checked against the largest backend server of its pool.'),
	declaredRunTimeMs: z.number().positive().max(600_000).default(500)
		.describe('The assumed run time of a task until enough run times have been measured.'),
	retryBudgetRatio: z.number().min(0).max(1).default(0.1)
		.describe('The budget for retries of idempotent tasks, as a share of successes.'),
	hedgeBudgetRatio: z.number().min(0).max(0.2).default(0)
		.describe('The budget for hedging (second attempts for slow idempotent tasks), as a share of tasks; 0 disables hedging.'),
	mostQueuedTasks: z.int().min(1).max(1_000_000).default(20_000)
		.describe('The maximum number of tasks queued at one daemon.'),
	mostQueuedBytes: z.int().min(1024).max(1_073_741_824).default(67_108_864)
		.describe('The maximum total size of the tasks queued at one daemon.'),
	limits: limitsSchema
		.describe('The limits that apply to all tasks of the service together.'),
});

/** Routes a service's tasks to another pool for some customers. */
export const routeSchema = z.strictObject({
	service: nameSchema
		.describe('The service whose tasks are routed.'),
	customers: z.array(nameSchema).min(1)
		.describe('The customers whose tasks are routed.'),
	pool: nameSchema
		.describe('The pool that runs the tasks instead of the service\'s own pool.'),
});

/** A declared limit: the total that the objects referring to it may use, across all availability zones. */
export const limitSchema = z.strictObject({
	tasksPerSecond: z.number().positive().optional()
		.describe('The maximum number of tasks accepted per second.'),
	burstSeconds: z.number().min(0.1).max(60).default(1)
		.describe('The burst size, as the number of seconds of the rate that may be used at once.'),
	tasksInFlight: z.int().positive().optional()
		.describe('The maximum number of accepted tasks in flight, whether queued or running.'),
	workerSecondsPerHour: z.number().positive().optional()
		.describe('The maximum slot time used per hour.'),
});

/** A team whose requests are scheduled and limited as a unit. */
export const customerSchema = z.strictObject({
	weight: z.number().positive().max(1000).default(1)
		.describe('The customer\'s share of a contended pool, relative to the other customers.'),
	services: z.array(nameSchema).default([])
		.describe('The services that the customer may call; if empty, all services.'),
	tokenHashes: z.array(tokenHashSchema).default([])
		.describe('The SHA-256 hash of each of the customer\'s tokens, as printed by `camphortack token`.'),
	limits: limitsSchema
		.describe('The limits that apply to all tasks of the customer together.'),
});

/** All objects of a configuration, by kind and name. */
export const configurationObjectsSchema = z.strictObject({
	availabilityZones: z.record(nameSchema, availabilityZoneSchema).default({}),
	pools: z.record(nameSchema, poolSchema).default({}),
	services: z.record(nameSchema, serviceSchema).default({}),
	routes: z.record(nameSchema, routeSchema).default({}),
	limits: z.record(nameSchema, limitSchema).default({}),
	customers: z.record(nameSchema, customerSchema).default({}),
});

/** A published configuration. The version increases by one with each publish. */
export const configurationSchema = z.strictObject({
	version: z.int().min(0),
	objects: configurationObjectsSchema,
});

export type AvailabilityZoneObject = z.infer<typeof availabilityZoneSchema>;
export type PoolObject = z.infer<typeof poolSchema>;
export type ServiceObject = z.infer<typeof serviceSchema>;
export type RouteObject = z.infer<typeof routeSchema>;
export type LimitObject = z.infer<typeof limitSchema>;
export type CustomerObject = z.infer<typeof customerSchema>;
export type ConfigurationObjects = z.infer<typeof configurationObjectsSchema>;
export type Configuration = z.infer<typeof configurationSchema>;
