import {CamphortackError} from './camphortack-error.js';
import {formatFinding, type Finding} from './finding.js';

/** An input was rejected. Carries all findings, not only the first. */
export class FindingsError extends CamphortackError {
	readonly findings: readonly Finding[];

	/**
	 * Creates the error.
	 * @param summary - What was checked, as `the settings file is not valid`.
	 * @param findings - Every finding.
	 */
	constructor(summary: string, findings: readonly Finding[]) {
		super('findings', [summary, ...findings.map(finding => `  ${formatFinding(finding)}`)].join('\n'));
		this.findings = findings;
	}
}
