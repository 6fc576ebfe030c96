import {z} from 'zod';
import {
	backendServerAnnouncementSchema, jobOutcomeSchema, maxTasksPerJob, nameSchema, taskSchema,
} from '@camphortack/core';

/** The maximum number of backend servers described in one message. */
export const maxServersPerMessage = 100;

/** The load of a daemon in a pool. Messages between dispatchers carry it, so that it is never requested separately. */
export const poolLoadSchema = z.object({
	pool: nameSchema,
	/** The number of slots that the sender manages. */
	slots: z.int().min(0),
	freeSlots: z.int().min(0),
	queuedTasks: z.int().min(0),
});

const loadsSchema = z.array(poolLoadSchema).max(16);

/** Tasks of a job that the receiver runs for the sender. */
const jobMessageSchema = z.object({
	kind: z.literal('dispatch.job'),
	/** The process that is to run the tasks; no other incarnation may run them. */
	receiverIncarnation: nameSchema,
	senderIncarnation: nameSchema,
	/** Incremented with each part that the sender hands over to the receiver. */
	sequence: z.int().min(0),
	/** The sender has the outcome of every part with a lower sequence number. */
	settledBelow: z.int().min(0),
	/** The number of times the tasks have been handed over, including this time. */
	handovers: z.int().min(1).max(8),
	id: nameSchema,
	customer: nameSchema,
	service: nameSchema,
	deadlineMs: z.number().positive(),
	idempotent: z.boolean(),
	indexes: z.array(z.int().min(0)).min(1).max(maxTasksPerJob),
	/** For each task, how many backend servers were lost while they ran it; missing in earlier versions. */
	lostServers: z.array(z.int().min(0)).max(maxTasksPerJob).optional(),
	tasks: z.array(taskSchema).min(1).max(maxTasksPerJob),
	loads: loadsSchema,
});

const outcomeMessageSchema = z.object({
	kind: z.literal('dispatch.outcome'),
	receiverIncarnation: nameSchema,
	sequence: z.int().min(0),
	outcome: jobOutcomeSchema,
	runTimesMs: z.array(z.number().min(0)).max(maxTasksPerJob),
	loads: loadsSchema,
});

/** The sender no longer needs these parts. */
const cancelMessageSchema = z.object({
	kind: z.literal('dispatch.cancel'),
	senderIncarnation: nameSchema,
	sequences: z.array(z.int().min(0)).min(1),
});

/** Asks for overdue outcomes. A part that was never received is refused, and does not run if it arrives late. */
const queryMessageSchema = z.object({
	kind: z.literal('dispatch.query'),
	receiverIncarnation: nameSchema,
	senderIncarnation: nameSchema,
	settledBelow: z.int().min(0),
	sequences: z.array(z.int().min(0)).min(1),
});

/** Sent if no other message was sent for a heartbeat interval. */
const heartbeatMessageSchema = z.object({
	kind: z.literal('dispatch.heartbeat'),
	/** Whether the receiver must reply, because the sender is alone in its availability zone. */
	needsReply: z.boolean(),
	loads: loadsSchema,
});

/** Backend servers that are new or have changed. */
const serversMessageSchema = z.object({
	kind: z.literal('dispatch.servers'),
	announcements: z.array(backendServerAnnouncementSchema).min(1).max(maxServersPerMessage),
});

/** A backend server renewed its announcement with the sender, which does not manage it. */
const serverRenewedMessageSchema = z.object({
	kind: z.literal('dispatch.server-renewed'),
	backendServerId: nameSchema,
	incarnation: nameSchema,
});

/** A backend server is leaving or has expired. */
const serverLeftMessageSchema = z.object({
	kind: z.literal('dispatch.server-left'),
	backendServerId: nameSchema,
	incarnation: nameSchema,
	reason: z.enum(['farewell', 'expired']),
});

/** The sender starts no more tasks on these backend servers; `busySlots` are still occupied by its tasks. */
const releaseMessageSchema = z.object({
	kind: z.literal('dispatch.release'),
	servers: z.array(z.object({
		backendServerId: nameSchema,
		incarnation: nameSchema,
		busySlots: z.int().min(0),
	})).min(1),
});

/** The sender will stop soon and no longer manages slots. */
const drainingMessageSchema = z.object({
	kind: z.literal('dispatch.draining'),
	senderIncarnation: nameSchema,
});

/** All messages between two dispatchers. */
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
