import {z} from 'zod';
import {peerMessageSchema} from '@camphortack/core';
import {backendServerDescriptionSchema, crashRecordSchema, maxTerm} from '@camphortack/placement';
import {evacuationsSchema} from '../evacuations/evacuations.js';

/** Messages between the daemons of a deployment. */
export const clusterMessageSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('cluster.heartbeat'),
		availabilityZone: z.string(),
		/** Whether the sender has a disk and takes part in the consensus on the configuration. */
		isKeeper: z.boolean(),
		/** The processor time that the VM of the sender may use, if the sender knows it. */
		cpuMillicores: z.number().optional(),
		/** A random identifier of the sender's process, new at each start. */
		incarnation: z.string(),
		upMs: z.number(),
		/** The shard of the sender: empty for all backend servers, or the availability zone whose backend servers its placer manages. */
		shard: z.string(),
		/** The expected wait of a new job; set only if the sender is the placer. */
		loadMs: z.number().optional(),
		/** The digest of the registry of backend servers; set only if the sender places, or has placed since its start. */
		registryDigest: z.string().optional(),
		/**
		 * Whether a placer on the sender starts tasks only on backend servers that the entry daemons of their jobs have recorded; missing
		 * in versions without records.
		 */
		usesRecords: z.boolean().optional(),
		/** The placer that the sender follows. */
		term: z.int().min(0).max(maxTerm),
		placerId: z.string(),
		/** Whether the sender receives heartbeats from that placer directly. */
		hearsPlacer: z.boolean(),
		isLeaving: z.boolean(),
		configurationNumber: z.int(),
		/** The revision of the evacuations that the sender knows, 0 before the first order; missing in versions without evacuations. */
		evacuationRevision: z.int().optional(),
		/** Time since the sender last received a heartbeat from the receiver; set only if that is long. */
		silenceMs: z.number().optional(),
		/** Daemons that the sender hears; included at intervals. */
		memberIds: z.array(z.string()).optional(),
	}),
	z.object({
		kind: z.literal('cluster.server-report'),
		description: backendServerDescriptionSchema,
		/** Set if the sender waits for the placer to acknowledge the report. */
		reportId: z.string().optional(),
	}),
	z.object({kind: z.literal('cluster.server-report-noted'), reportId: z.string()}),
	z.object({kind: z.literal('cluster.server-left'), serverId: z.string(), bornMs: z.number()}),
	z.object({kind: z.literal('cluster.registry-request')}),
	z.object({
		kind: z.literal('cluster.registry'),
		descriptions: z.array(backendServerDescriptionSchema),
		/** The digest of the sender's registry; the receiver may need only a part of that. */
		digest: z.string().optional(),
	}),
	z.object({kind: z.literal('cluster.configuration-request'), knownNumber: z.int()}),
	z.object({kind: z.literal('cluster.configuration'), number: z.int(), content: z.string()}),
	z.object({kind: z.literal('cluster.evacuations-request'), knownRevision: z.int()}),
	z.object({kind: z.literal('cluster.evacuations'), ...evacuationsSchema.shape}),
	/** Runs that ended with the processes of their backend servers, which the receiver may not know of. */
	z.object({kind: z.literal('cluster.crashes'), records: z.array(crashRecordSchema)}),
	/** Asks the receiver to forward a message to a daemon that the sender does not hear. */
	z.object({kind: z.literal('cluster.relay'), toId: z.string(), message: peerMessageSchema}),
	z.object({kind: z.literal('cluster.relayed'), fromId: z.string(), message: peerMessageSchema}),
]);

export type ClusterMessage = z.infer<typeof clusterMessageSchema>;
export type ClusterMessageOf<Kind extends ClusterMessage['kind']> = Extract<ClusterMessage, {kind: Kind}>;
