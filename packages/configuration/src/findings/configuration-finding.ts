import type {Finding, FindingPlace} from '@camphortack/core';

/** A finding of the configuration. An error keeps the set from being published; a warning does not. */
export type ConfigurationFinding = Finding & {level: 'error' | 'warning'};

/**
 * Creates a finding that keeps the configuration from being used.
 * @param code - A stable code.
 * @param message - What is wrong.
 * @param place - Where it stands.
 * @param suggestion - The nearest known name, where a name is not known.
 */
export function createErrorFinding(code: string, message: string, place: FindingPlace, suggestion?: string): ConfigurationFinding {
	const finding: ConfigurationFinding = {
		code,
		level: 'error',
		message,
		place,
	};
	return suggestion === undefined ? finding : {...finding, suggestion};
}

/**
 * Creates a finding that only asks for a second look.
 * @param code - A stable code.
 * @param message - What to look at.
 * @param place - Where it stands.
 */
export function createWarningFinding(code: string, message: string, place: FindingPlace): ConfigurationFinding {
	return {
		code,
		level: 'warning',
		message,
		place,
	};
}

/**
 * Tells whether a set of findings keeps the configuration from being used.
 * @param findings - The findings of a check.
 *
 * @example
 * ```ts
 * hasErrors([{code: 'unused-limit', level: 'warning', message: 'is not used', place: {}}]); // false
 * ```
 */
export function hasErrors(findings: readonly ConfigurationFinding[]): boolean {
	return findings.some(finding => finding.level === 'error');
}
