import {z} from 'zod';

/** Encoded bytes as decoded from a message or from the log. */
export const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array);
