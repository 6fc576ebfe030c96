import type {z} from 'zod';

/** A row that a list lost because it does not match the schema. */
export type BadRow = {
	/** The key of the list. */
	list: string;
	/** The position of the row in the list as it was received. */
	index: number;
	/** The field of the row, if the whole row is not at fault, and what is wrong with it. */
	reason: string;
};

export type ListParseResult<Data>
	= {success: true; data: Data; badRows: BadRow[]}
		| {success: false; error: z.ZodError};

/**
 * Parses an object whose lists lose the rows that do not match the schema, and never the others. Anything else that does not
 * match makes the object invalid. The caller counts and logs the bad rows, and must not conclude anything from their absence.
 * @param schema - The schema of the object; its lists are plain arrays.
 * @param value - The object as received.
 * @param listNames - The keys of the lists that may lose rows.
 *
 * @example
 * ```ts
 * const schema = z.object({ports: z.array(z.int())});
 * const result = parseWithoutBadRows(schema, {ports: [80, 'x']}, ['ports']);
 * // {success: true, data: {ports: [80]}, badRows: [{list: 'ports', index: 1, reason: 'Invalid input: expected int, received string'}]}
 * ```
 */
export function parseWithoutBadRows<Schema extends z.ZodType>(schema: Schema, value: unknown, listNames: readonly string[]): ListParseResult<z.output<Schema>> {
	const parsed = schema.safeParse(value);
	if (parsed.success) {
		return {success: true, data: parsed.data, badRows: []};
	}

	const badRows = parsed.error.issues.map(issue => findBadRow(issue, listNames));
	if (!isObject(value) || badRows.includes(undefined)) {
		return {success: false, error: parsed.error};
	}

	const uniqueBadRows = getFirstOfEachRow(badRows.filter(row => row !== undefined));
	const rest = schema.safeParse(removeRows(value, uniqueBadRows));
	return rest.success ? {success: true, data: rest.data, badRows: uniqueBadRows} : {success: false, error: rest.error};
}

function isObject(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null;
}

function findBadRow({path, message}: z.core.$ZodIssue, listNames: readonly string[]): BadRow | undefined {
	const [list, index, ...field] = path;
	if (typeof list !== 'string' || typeof index !== 'number' || !listNames.includes(list)) {
		return undefined;
	}

	return {list, index, reason: field.length === 0 ? message : `${field.map(String).join('.')}: ${message}`};
}

function getFirstOfEachRow(badRows: readonly BadRow[]): BadRow[] {
	const rows = new Map<string, BadRow>();
	for (const row of badRows) {
		const key = `${row.list} ${row.index}`;
		rows.set(key, rows.get(key) ?? row);
	}

	return [...rows.values()];
}

function removeRows(value: Record<string, unknown>, badRows: readonly BadRow[]): Record<string, unknown> {
	const rest = {...value};
	for (const list of new Set(badRows.map(row => row.list))) {
		const indexes = new Set(badRows.filter(row => row.list === list).map(row => row.index));
		const rows = value[list];
		rest[list] = Array.isArray(rows) ? rows.filter((_, index) => !indexes.has(index)) : rows;
	}

	return rest;
}
