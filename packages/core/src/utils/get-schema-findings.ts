import type {z} from 'zod';
import type {Finding, FindingPlace} from '../errors/finding.js';

/**
 * Converts the issues of a failed parse into findings, one for each issue.
 * @param error - The error of the schema library.
 * @param place - The place of the input as a whole.
 */
export function getSchemaFindings(error: z.ZodError, place: FindingPlace = {}): Finding[] {
	return error.issues.map(issue => ({
		code: issue.code === 'unrecognized_keys' ? 'unknown-key' : 'bad-value',
		message: issue.message,
		place: {...place, key: formatPath(issue.path)},
	}));
}

function formatPath(path: readonly PropertyKey[]): string {
	let text = '';
	for (const part of path) {
		text += typeof part === 'number' ? `[${part}]` : `${text === '' ? '' : '.'}${String(part)}`;
	}

	return text;
}
