import {z} from 'zod';
import {configurationObjectsSchema} from '@camphortack/configuration';

/** A version of the configuration with its objects. */
export const configurationResponseSchema = z.object({version: z.int(), objects: configurationObjectsSchema});

export const publishResponseSchema = z.object({version: z.int()});

export const conflictResponseSchema = z.object({
	conflict: z.object({version: z.int(), author: z.string(), objects: configurationObjectsSchema}),
});

export const historyResponseSchema = z.object({
	entries: z.array(z.object({version: z.int(), publishId: z.string(), author: z.string()})),
});

/** An amount of a limit: a single number, or a number for each of its dimensions. */
const amountSchema = z.union([z.number(), z.record(z.string(), z.number())]);

export const limitStatusSchema = z.object({
	name: z.string(),
	/** The dimension that the amounts refer to, such as `rate`, if the limit has several dimensions. */
	resource: z.string().optional(),
	/** The kind of the object that the amounts belong to; absent if all objects that refer to the limit share them. */
	holderKind: z.string().optional(),
	holderName: z.string().optional(),
	declared: amountSchema,
	share: amountSchema,
	used: amountSchema,
});

export const limitsResponseSchema = z.object({limits: z.array(limitStatusSchema)});

const backendServerStatusSchema = z.object({
	id: z.string(),
	availabilityZone: z.string(),
	slots: z.int(),
	managerId: z.string().optional(),
	heldSlots: z.int(),
	busySlots: z.int(),
	isEjected: z.boolean(),
	isLeaving: z.boolean(),
});

/** The status of the system as seen by one daemon. */
export const statusResponseSchema = z.object({
	daemon: z.object({
		id: z.string(),
		incarnation: z.string(),
		availabilityZone: z.string(),
		roles: z.array(z.string()),
		isDraining: z.boolean(),
		isReady: z.boolean(),
	}),
	configuration: z.object({version: z.int().optional(), isStale: z.boolean()}),
	/** Absent from daemons of earlier versions. */
	evacuations: z.object({revision: z.int(), availabilityZones: z.array(z.string())}).optional(),
	members: z.array(z.object({id: z.string(), availabilityZone: z.string(), isAlive: z.boolean()})),
	zones: z.array(z.object({availabilityZone: z.string(), isReachable: z.boolean(), liveDaemons: z.int()})).optional(),
	keepers: z.object({
		leaderId: z.string().optional(),
		term: z.int().optional(),
		isLeader: z.boolean(),
		isReachable: z.boolean(),
	}).optional(),
	dispatcher: z.object({
		queuedTasks: z.int(),
		queuedBytes: z.int(),
		runningTasks: z.int(),
		openJobs: z.int(),
		isDraining: z.boolean(),
		backendServers: z.array(backendServerStatusSchema),
	}),
	limits: z.array(limitStatusSchema),
});

/** Where a job would go now. */
export const whereResponseSchema = z.object({
	refusal: z.string().optional(),
	pool: z.string().optional(),
	expectedRunTimeMs: z.number().optional(),
	expectedWaitMs: z.number().optional(),
	queuedTasks: z.int(),
	slots: z.int(),
	candidates: z.array(z.object({
		id: z.string(), availabilityZone: z.string(), freeSlots: z.int(), expectedCompletionMs: z.number(), exclusion: z.string().optional(),
	})),
	excluded: z.record(z.string(), z.int()),
	partners: z.array(z.object({id: z.string(), slots: z.number(), room: z.number()})),
});

/** The answer to an order to evacuate an availability zone, or to the withdrawal of one. */
export const evacuationResponseSchema = z.object({availabilityZone: z.string(), isEvacuated: z.boolean(), revision: z.int()});

export const ticketsResponseSchema = z.object({tickets: z.array(z.string()).min(1)});

/** The body of an error response. */
export const errorResponseSchema = z.object({code: z.string().optional(), message: z.string().optional(), findings: z.array(z.json()).optional()});

export type WhereResponse = z.infer<typeof whereResponseSchema>;
export type LimitStatus = z.infer<typeof limitStatusSchema>;
export type StatusResponse = z.infer<typeof statusResponseSchema>;
export type ConfigurationResponse = z.infer<typeof configurationResponseSchema>;
