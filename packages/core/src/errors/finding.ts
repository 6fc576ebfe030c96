/** Where a finding stands: a file and line, an object and key, or a path in a request body. */
export type FindingPlace = {
	file?: string;
	line?: number;
	column?: number;
	/** The named object, as `pool/walnut`. */
	object?: string;
	/** The key or the path in a body, as `tasks[3].payload`. */
	key?: string;
};

/** One thing wrong with an input. */
export type Finding = {
	/** A stable code, as `unknown-key`. */
	code: string;
	message: string;
	place: FindingPlace;
	/** The nearest known name, where a name is not known. */
	suggestion?: string;
};

/**
 * Formats a finding in one line.
 * @param finding - The finding.
 *
 * @example
 * ```ts
 * formatFinding({code: 'unknown-key', message: 'unknown key "prot"', place: {file: 'a.ini', line: 3}, suggestion: 'port'});
 * // a.ini:3: unknown key "prot" (did you mean "port"?)
 * ```
 */
export function formatFinding(finding: Finding): string {
	const {file, line, column, object, key} = finding.place;
	const position = [file, line, column].filter(part => part !== undefined).join(':');
	const subject = [object, key].filter(part => part !== undefined).join(' ');
	const prefix = [position, subject].filter(part => part !== '').join(': ');
	const suggestion = finding.suggestion === undefined ? '' : ` (did you mean "${finding.suggestion}"?)`;
	return `${prefix === '' ? '' : `${prefix}: `}${finding.message}${suggestion}`;
}
