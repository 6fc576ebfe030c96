/**
 * Converts a value to canonical JSON, in which the keys of each object are sorted.
 * @param value - The value. Undefined properties are omitted.
 *
 * @example
 * ```ts
 * toCanonicalJson({b: 1, a: 2}); // '{"a":2,"b":1}'
 * ```
 */
export function toCanonicalJson(value: unknown): string {
	return JSON.stringify(value, sortKeys);
}

function sortKeys(_key: string, value: unknown): unknown {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		return value;
	}

	return Object.fromEntries(Object.entries(value).toSorted(([left], [right]) => (left < right ? -1 : 1)));
}
