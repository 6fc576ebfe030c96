/**
 * Finds an own property of a plain object by name. Inherited properties such as `constructor` are ignored.
 * @param values - The object.
 * @param name - The name of the property.
 *
 * @example
 * ```ts
 * findOwn({walnut: 1}, 'constructor'); // undefined
 * ```
 */
export function findOwn<Value>(values: Readonly<Record<string, Value>>, name: string): Value | undefined {
	return Object.hasOwn(values, name) ? values[name] : undefined;
}
