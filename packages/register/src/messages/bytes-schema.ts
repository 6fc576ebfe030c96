// eslint-disable-next-line n/no-extraneous-import, import-x/no-extraneous-dependencies -- The schemas of the core package are made with the same library.
import {z} from 'zod';

/** Encoded bytes, as they come from a message or the log. */
export const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array);
