import type {Finding, FindingPlace} from '@camphortack/core';

/** A finding about the configuration. Errors prevent publishing; warnings do not. */
export type ConfigurationFinding = Finding & {level: 'error' | 'warning'};

/**
 * Creates a finding that prevents the configuration from being used.
 * @param code - The stable code of the finding.
 * @param message - A description of the error.
 * @param place - The place of the finding.
 * @param suggestion - The closest known name, if the finding is about an unknown name.
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
 * Creates a finding that does not prevent the configuration from being used.
 * @param code - The stable code of the finding.
 * @param message - A description of the possible mistake.
 * @param place - The place of the finding.
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
 * Whether any of the findings prevents the configuration from being used.
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
