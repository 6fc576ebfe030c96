import {z} from 'zod';
import {nameSchema} from '@camphortack/core';

/** The version of the peer protocol. Connections from daemons of other versions are rejected. */
export const peerProtocolVersion = 1;

/** The first message on a connection. It identifies the connecting daemon. */
export const peerHelloSchema = z.object({
	kind: z.literal('peer.hello'),
	protocolVersion: z.literal(peerProtocolVersion),
	id: nameSchema,
});

export type PeerHello = z.infer<typeof peerHelloSchema>;
