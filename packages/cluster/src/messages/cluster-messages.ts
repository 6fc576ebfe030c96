import {z} from 'zod';
import {peerMessageSchema} from '@camphortack/core';
import {backendServerDescriptionSchema} from '@camphortack/placement';

/** Messages between the daemons of a deployment. */
export const clusterMessageSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('cluster.heartbeat'),
		availabilityZone: z.string(),
		/** Whether the sender has a disk and agrees on the configuration. */
		isKeeper: z.boolean(),
		/** A random number of the sender's start. */
		incarnation: z.string(),
		upMs: z.number(),
		/** The backend servers that the sender's placer is for: empty for all, or those of its availability zone. */
		shard: z.string(),
		/** How long a job would wait, if the sender is the placer. */
		loadMs: z.number().optional(),
		/** The placer that the sender follows. */
		term: z.int(),
		placerId: z.string(),
		/** Whether the sender hears that placer itself. */
		hearsPlacer: z.boolean(),
		isLeaving: z.boolean(),
		configurationNumber: z.int(),
		/** Time since the sender last heard the receiver, if that is long. */
		silenceMs: z.number().optional(),
		/** Daemons that the sender hears, from time to time. */
		memberIds: z.array(z.string()).optional(),
	}),
	z.object({
		kind: z.literal('cluster.server-report'),
		description: backendServerDescriptionSchema,
		/** Set if the sender waits for the placer to take note. */
		reportId: z.string().optional(),
	}),
	z.object({kind: z.literal('cluster.server-report-noted'), reportId: z.string()}),
	z.object({kind: z.literal('cluster.server-left'), serverId: z.string(), bornMs: z.number()}),
	z.object({kind: z.literal('cluster.registry-request')}),
	z.object({kind: z.literal('cluster.registry'), descriptions: z.array(backendServerDescriptionSchema)}),
	z.object({kind: z.literal('cluster.configuration-request'), knownNumber: z.int()}),
	z.object({kind: z.literal('cluster.configuration'), number: z.int(), content: z.string()}),
	/** Asks the receiver to pass a message on to a daemon that the sender does not hear. */
	z.object({kind: z.literal('cluster.relay'), toId: z.string(), message: peerMessageSchema}),
	z.object({kind: z.literal('cluster.relayed'), fromId: z.string(), message: peerMessageSchema}),
]);

export type ClusterMessage = z.infer<typeof clusterMessageSchema>;
export type ClusterMessageOf<Kind extends ClusterMessage['kind']> = Extract<ClusterMessage, {kind: Kind}>;
