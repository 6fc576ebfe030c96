import {z} from 'zod';

/** Any value that JSON can hold. */
// eslint-disable-next-line @typescript-eslint/no-restricted-types -- JSON has null.
export type JsonValue = string | number | boolean | null | JsonValue[] | {[key: string]: JsonValue};

/**
 * Accepts any value of parsed JSON without walking through it: payloads are passed on as they are.
 * The bounds on size and nesting are checked on the text, before it is parsed.
 */
export const jsonValueSchema = z.custom<JsonValue>(value => value !== undefined, 'is missing');
