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

/** An availability zone with entry VMs and backend servers of its own. */
export const availabilityZoneSchema = z.strictObject({
	region: nameSchema.default('default')
		.describe('The region that the availability zone lies in.'),
	limitWeight: z.number().min(0).max(1000).default(1)
		.describe('This zone\'s part of each declared limit, relative to the other zones.'),
});

/** Backend servers that serve the same services. */
export const poolSchema = z.strictObject({
	availabilityZones: z.array(nameSchema).default([])
		.describe('The availability zones whose backend servers belong to the pool; none named: all.'),
	largestEjectedShare: z.number().min(0).max(1).default(0.3)
		.describe('The largest share of the pool\'s backend servers that may be ejected at once.'),
	largestBackendServer: describedNeedsSchema.optional()
		.describe('What the largest backend server of the pool offers; a task that needs more never fits.'),
	limits: limitsSchema
		.describe('The limits of all tasks that run in the pool together.'),
});

/** A kind of task, run by the backend servers of one pool. */
export const serviceSchema = z.strictObject({
	pool: nameSchema
		.describe('The pool whose backend servers run the tasks.'),
	declaredNeeds: describedNeedsSchema.optional()
		.describe('What a task of this service asks for at most; checked against the largest backend server of its pool.'),
	declaredRunTimeMs: z.number().positive().max(600_000).default(500)
		.describe('How long a task runs, until enough run times have been learnt.'),
	retryBudgetRatio: z.number().min(0).max(1).default(0.1)
		.describe('Retries of idempotent tasks, as a share of successes.'),
	hedgeBudgetRatio: z.number().min(0).max(0.2).default(0)
		.describe('Second attempts for slow idempotent tasks, as a share of tasks; 0 turns hedging off.'),
	mostQueuedTasks: z.int().min(1).max(1_000_000).default(20_000)
		.describe('How many tasks may wait at one daemon.'),
	mostQueuedBytes: z.int().min(1024).max(1_073_741_824).default(67_108_864)
		.describe('How many bytes of tasks may wait at one daemon.'),
	limits: limitsSchema
		.describe('The limits of all tasks of the service together.'),
});

/** Sends a service's tasks of some customers to another pool. */
export const routeSchema = z.strictObject({
	service: nameSchema
		.describe('The service whose tasks are sent elsewhere.'),
	customers: z.array(nameSchema).min(1)
		.describe('The customers whose tasks are sent elsewhere.'),
	pool: nameSchema
		.describe('The pool that runs them instead of the service\'s own.'),
});

/** The declared cost: what the objects that name it may use together, in all availability zones. */
export const limitSchema = z.strictObject({
	tasksPerSecond: z.number().positive().optional()
		.describe('How many tasks may be accepted a second.'),
	burstSeconds: z.number().min(0.1).max(60).default(1)
		.describe('How many seconds of the rate may be used at once.'),
	tasksInFlight: z.int().positive().optional()
		.describe('How many accepted tasks may be open at once, waiting or running.'),
	workerSecondsPerHour: z.number().positive().optional()
		.describe('How many seconds of slots may be used an hour.'),
});

/** A team whose requests are served and limited together. */
export const customerSchema = z.strictObject({
	weight: z.number().positive().max(1000).default(1)
		.describe('The share of a contended pool, relative to the other customers.'),
	services: z.array(nameSchema).default([])
		.describe('The services that it may call; none named: all.'),
	tokenHashes: z.array(tokenHashSchema).default([])
		.describe('SHA-256 of each of its tokens, as `camphortack token` prints it.'),
	limits: limitsSchema
		.describe('The limits of all tasks of the customer together.'),
});

/** The whole set, by kind and name. */
export const configurationObjectsSchema = z.strictObject({
	availabilityZones: z.record(nameSchema, availabilityZoneSchema).default({}),
	pools: z.record(nameSchema, poolSchema).default({}),
	services: z.record(nameSchema, serviceSchema).default({}),
	routes: z.record(nameSchema, routeSchema).default({}),
	limits: z.record(nameSchema, limitSchema).default({}),
	customers: z.record(nameSchema, customerSchema).default({}),
});

/** A published set with its version. Versions rise by one with each publish. */
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
