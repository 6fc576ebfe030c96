import {z} from 'zod';

/** Any JSON value. */
// eslint-disable-next-line @typescript-eslint/no-restricted-types -- JSON has null.
export type JsonValue = string | number | boolean | null | JsonValue[] | {[key: string]: JsonValue};

/**
 * Accepts any parsed JSON value without traversing it, because payloads are forwarded unchanged.
 * The limits on size and nesting depth are checked on the text before it is parsed.
 */
export const jsonValueSchema = z.custom<JsonValue>(value => value !== undefined, 'is missing');
