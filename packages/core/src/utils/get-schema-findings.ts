import type {z} from 'zod';
import type {Finding, FindingPlace} from '../errors/finding.js';

/**
 * Converts the issues of a failed parse to findings, one per issue.
 * @param error - The error of the failed parse.
 * @param place - The location of the whole input.
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
