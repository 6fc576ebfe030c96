import {z} from 'zod';
import {nameSchema} from '@camphortack/core';

/** The version of the protocol between daemons. A daemon of another version is turned away. */
export const peerProtocolVersion = 1;

/** The first message on each connection. */
export const peerHelloSchema = z.object({
	kind: z.literal('peer.hello'),
	protocolVersion: z.literal(peerProtocolVersion),
	id: nameSchema,
});

export type PeerHello = z.infer<typeof peerHelloSchema>;
