/**
 * Groups values by a key, in the order of the first value of each group.
 * @param values - The values.
 * @param getKey - Gets the key of a value.
 */
export function groupBy<Key, Value>(values: Iterable<Value>, getKey: (value: Value) => Key): Map<Key, Value[]> {
	const groups = new Map<Key, Value[]>();
	for (const value of values) {
		const key = getKey(value);
		const group = groups.get(key);
		if (group === undefined) {
			groups.set(key, [value]);
		} else {
			group.push(value);
		}
	}

	return groups;
}
