import {z} from 'zod';

/** Encoded bytes, as they come from a message or the log. */
export const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array);
