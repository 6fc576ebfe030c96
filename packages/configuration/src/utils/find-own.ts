/**
 * Finds a value by name in a plain object, past inherited names such as `constructor`.
 * @param values - The values by name.
 * @param name - The name.
 *
 * @example
 * ```ts
 * findOwn({walnut: 1}, 'constructor'); // undefined
 * ```
 */
export function findOwn<Value>(values: Readonly<Record<string, Value>>, name: string): Value | undefined {
	return Object.hasOwn(values, name) ? values[name] : undefined;
}
