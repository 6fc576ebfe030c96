import {z} from 'zod';
import {jobHandoverSchema} from '../jobs/job-handover.js';
import {jobRequestSchema} from '../jobs/job-request.js';
import {backendServerDescriptionSchema} from '../servers/backend-server-description.js';
import {wireOutcomeSchema} from './job-outcome.js';

/** Messages between entry daemons and the placer. */
export const placementMessageSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('placement.submit'),
		request: jobRequestSchema,
		/**
		 * Identifies a submission: the same in all messages that a daemon sends for it, different when the caller
		 * submits the job again.
		 */
		submissionId: z.string(),
		/** The start of the entry daemon's process; missing in versions that record no backend servers. */
		incarnation: z.string().optional(),
		/** Increases with each submission and each list of open jobs of the sender's process; missing in versions without it. */
		sequence: z.int().min(0).optional(),
		/** The term of the placer to which the job is submitted. A daemon that does not place in it never starts the job. */
		term: z.int().optional(),
		/** How often the job was submitted to a placer before. */
		generation: z.int().min(0),
		/** Whether an earlier placer may have started tasks of the job. */
		mayHaveStarted: z.boolean(),
		/** Set if the job was submitted to a placer before. */
		handover: jobHandoverSchema.optional(),
	}),
	z.object({kind: z.literal('placement.result'), jobId: z.string(), result: wireOutcomeSchema}),
	/** The sender, as the placer of the term, has started no task of these jobs and never will. */
	z.object({kind: z.literal('placement.not-begun'), term: z.int(), jobIds: z.array(z.string())}),
	z.object({
		kind: z.literal('placement.cancel'),
		jobId: z.string(),
		/**
		 * Set if the callers of this submission have left, which ends the job only if no other submission waits for it. Without it,
		 * the job is cancelled for all of them. Daemons of earlier versions never set it, and ignore it.
		 */
		submissionId: z.string().optional(),
		/**
		 * Set if a caller has cancelled the job for all who wait for it. Daemons of earlier versions never set it, and name no submission
		 * either when callers have left.
		 */
		isForAll: z.boolean().optional(),
	}),
	/** The job was cancelled for all of its submissions. */
	z.object({kind: z.literal('placement.cancelled'), jobId: z.string()}),
	/** The jobs whose results a daemon waits for. The placer replies with the results of those that have ended. */
	z.object({
		kind: z.literal('placement.open-jobs'),
		jobIds: z.array(z.string()),
		/** The start of the sender's process; missing in versions that record no backend servers. */
		incarnation: z.string().optional(),
		/**
		 * Increases with each submission and each list of the sender's process: the daemon no longer waits for jobs of this shard that
		 * it submitted before and that neither list names. Missing in versions that name only some of these jobs.
		 */
		sequence: z.int().min(0).optional(),
		/** The jobs that the daemon waits for as well, without asking for their results yet; missing if there are none. */
		otherJobIds: z.array(z.string()).optional(),
		/** The term of the placer to which the daemon has handed over its other jobs of this shard. */
		term: z.int().optional(),
		/** The jobs that the daemon no longer waits for, and that a placer may have started recently. */
		leftJobIds: z.array(z.string()).optional(),
		/** For how long the daemon, which is being stopped, still answers its callers; missing if it is not being stopped. */
		remainingMs: z.number().min(0).optional(),
	}),
	/** The jobs of that list that the placer does not know. */
	z.object({
		kind: z.literal('placement.unknown-jobs'),
		jobIds: z.array(z.string()),
		/** The term of the placer, which has begun none of these jobs in it so far. */
		term: z.int().optional(),
		/** The start of the placer's process. */
		incarnation: z.string().optional(),
	}),
	/** Asks an entry daemon to record the backend servers on which a placer may start the tasks of its jobs. */
	z.object({
		kind: z.literal('placement.record-servers'),
		/** The shard, the term and the start of the process of the placer. */
		shard: z.string(),
		term: z.int(),
		incarnation: z.string(),
		/** Increases with each change of the list. */
		listNumber: z.int().min(0),
		/** All backend servers in use. Those that are missing can have no runs of the placer any more. */
		serverIds: z.array(z.string()),
		/** Those of them that the entry daemon may not have recorded yet. */
		descriptions: z.array(backendServerDescriptionSchema),
	}),
	/** The sender has recorded the list with a number; 0 if it lacks descriptions of backend servers and needs them all again. */
	z.object({
		kind: z.literal('placement.servers-recorded'),
		term: z.int(),
		placerIncarnation: z.string(),
		incarnation: z.string(),
		listNumber: z.int().min(0),
	}),
	/** Asks an entry daemon for the backend servers that it has recorded for the earlier placers of a job. */
	z.object({kind: z.literal('placement.record-request'), digest: z.string()}),
	z.object({kind: z.literal('placement.record'), digest: z.string(), descriptions: z.array(backendServerDescriptionSchema)}),
]);

export type PlacementMessage = z.infer<typeof placementMessageSchema>;
export type PlacementMessageOf<Kind extends PlacementMessage['kind']> = Extract<PlacementMessage, {kind: Kind}>;
