/** The location of a finding: a file and line, an object and key, or a path in a request body. */
export type FindingPlace = {
	file?: string;
	line?: number;
	column?: number;
	/** The object, such as `pool/walnut`. */
	object?: string;
	/** The key, or the path in a request body, such as `tasks[3].payload`. */
	key?: string;
};

/** A problem found in an input. */
export type Finding = {
	/** A stable code, such as `unknown-key`. */
	code: string;
	message: string;
	place: FindingPlace;
	/** The closest known name, if the input has an unknown one. */
	suggestion?: string;
};

/**
 * Formats a finding as a single line.
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
