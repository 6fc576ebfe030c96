/**
 * Formats rows as a table with aligned columns.
 * @param header - The column headers.
 * @param rows - The cells of each row.
 *
 * @example
 * ```ts
 * formatTable(['id', 'slots'], [['b1', '8']]); // 'id  slots\nb1  8'
 * ```
 */
export function formatTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const lines = [header, ...rows];
	const widths = header.map((_, column) => Math.max(...lines.map(line => line[column]?.length ?? 0)));
	return lines.map(line => line.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n');
}
