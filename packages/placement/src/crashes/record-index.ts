/** Records by a key that several of them may share. */
export type RecordIndex<Row> = {
	add(row: Row): void;
	remove(row: Row): void;
	/** Gets the records with a key, in the order in which they were added. */
	get(key: string): readonly Row[];
	getKeys(): string[];
};

/**
 * Creates an empty index.
 * @param getKey - Gets the key of a record, which never changes.
 *
 * @example
 * ```ts
 * const index = createRecordIndex<CrashRecord>(({queueName}) => queueName);
 * index.add(record);
 * index.get('estimates'); // [record]
 * ```
 */
export function createRecordIndex<Row>(getKey: (row: Row) => string): RecordIndex<Row> {
	const rows = new Map<string, Row[]>();

	function get(key: string): readonly Row[] {
		return rows.get(key) ?? [];
	}

	return {
		add(row) {
			const key = getKey(row);
			rows.set(key, [...get(key), row]);
		},
		remove(row) {
			const key = getKey(row);
			const remaining = get(key).filter(other => other !== row);
			if (remaining.length === 0) {
				rows.delete(key);
			} else {
				rows.set(key, remaining);
			}
		},
		get,
		getKeys: () => [...rows.keys()],
	};
}
