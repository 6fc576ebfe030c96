import {z} from 'zod';
import {
	backendServerAnnouncementSchema, jobOutcomeSchema, mostTasksPerJob, nameSchema, taskSchema,
} from '@camphortack/core';

/** The most backend servers that one message describes. */
export const maxServersPerMessage = 100;

/** How busy a daemon is with a pool. Each message between dispatchers carries it, so that nobody has to ask. */
export const poolLoadSchema = z.object({
	pool: nameSchema,
	/** The slots that the sender manages. */
	slots: z.int().min(0),
	freeSlots: z.int().min(0),
	queuedTasks: z.int().min(0),
});

const loadsSchema = z.array(poolLoadSchema).max(16);

/** A job's tasks that the receiver runs for the sender. */
const jobMessageSchema = z.object({
	kind: z.literal('dispatch.job'),
	/** The process that is to run it; any other one must not. */
	receiverIncarnation: nameSchema,
	senderIncarnation: nameSchema,
	/** Rises by one with each part that the sender gives to the receiver. */
	sequence: z.int().min(0),
	/** The sender has the outcome of every part before this one. */
	settledBelow: z.int().min(0),
	/** How often the tasks have been handed over, this time included. */
	handovers: z.int().min(1).max(8),
	id: nameSchema,
	customer: nameSchema,
	service: nameSchema,
	deadlineMs: z.number().positive(),
	idempotent: z.boolean(),
	indexes: z.array(z.int().min(0)).min(1).max(mostTasksPerJob),
	tasks: z.array(taskSchema).min(1).max(mostTasksPerJob),
	loads: loadsSchema,
});

const outcomeMessageSchema = z.object({
	kind: z.literal('dispatch.outcome'),
	receiverIncarnation: nameSchema,
	sequence: z.int().min(0),
	outcome: jobOutcomeSchema,
	runTimesMs: z.array(z.number().min(0)).max(mostTasksPerJob),
	loads: loadsSchema,
});

/** The sender gave up these parts. */
const cancelMessageSchema = z.object({
	kind: z.literal('dispatch.cancel'),
	senderIncarnation: nameSchema,
	sequences: z.array(z.int().min(0)).min(1),
});

/** The sender has waited long for these parts. One that never came is refused, and will not run if it comes late. */
const queryMessageSchema = z.object({
	kind: z.literal('dispatch.query'),
	receiverIncarnation: nameSchema,
	senderIncarnation: nameSchema,
	settledBelow: z.int().min(0),
	sequences: z.array(z.int().min(0)).min(1),
});

/** A sign of life where nothing else was sent. */
const heartbeatMessageSchema = z.object({
	kind: z.literal('dispatch.heartbeat'),
	/** Whether the receiver is to answer, because nobody else in the sender's availability zone does. */
	needsReply: z.boolean(),
	loads: loadsSchema,
});

/** Backend servers that are new to the receiver or changed. */
const serversMessageSchema = z.object({
	kind: z.literal('dispatch.servers'),
	announcements: z.array(backendServerAnnouncementSchema).min(1).max(maxServersPerMessage),
});

/** A backend server renewed its announcement at the sender, which does not manage it. */
const serverRenewedMessageSchema = z.object({
	kind: z.literal('dispatch.server-renewed'),
	backendServerId: nameSchema,
	incarnation: nameSchema,
});

/** A backend server leaves or is gone. */
const serverLeftMessageSchema = z.object({
	kind: z.literal('dispatch.server-left'),
	backendServerId: nameSchema,
	incarnation: nameSchema,
	reason: z.enum(['farewell', 'expired']),
});

/** The sender has stopped using these backend servers; some of its tasks still run there. */
const releaseMessageSchema = z.object({
	kind: z.literal('dispatch.release'),
	servers: z.array(z.object({
		backendServerId: nameSchema,
		incarnation: nameSchema,
		busySlots: z.int().min(0),
	})).min(1),
});

/** The sender stops soon and manages no slots from now on. */
const drainingMessageSchema = z.object({
	kind: z.literal('dispatch.draining'),
	senderIncarnation: nameSchema,
});

/** Every message between two dispatchers. */
export const dispatchMessageSchema = z.discriminatedUnion('kind', [
	jobMessageSchema,
	outcomeMessageSchema,
	cancelMessageSchema,
	queryMessageSchema,
	heartbeatMessageSchema,
	serversMessageSchema,
	serverRenewedMessageSchema,
	serverLeftMessageSchema,
	releaseMessageSchema,
	drainingMessageSchema,
]);

export type PoolLoad = z.infer<typeof poolLoadSchema>;
export type DispatchMessage = z.infer<typeof dispatchMessageSchema>;
export type JobMessage = z.infer<typeof jobMessageSchema>;
export type OutcomeMessage = z.infer<typeof outcomeMessageSchema>;
export type CancelMessage = z.infer<typeof cancelMessageSchema>;
export type QueryMessage = z.infer<typeof queryMessageSchema>;
export type ReleaseMessage = z.infer<typeof releaseMessageSchema>;

/** Sends a message to another dispatcher. */
export type SendDispatchMessage = (peerId: string, message: DispatchMessage) => void;
