import {CamphortackError} from './camphortack-error.js';
import {formatFinding, type Finding} from './finding.js';

/** Reports a rejected input with all of its findings, not only the first. */
export class FindingsError extends CamphortackError {
	readonly findings: readonly Finding[];

	/**
	 * Creates the error.
	 * @param summary - What was rejected, such as `the settings file is not valid`.
	 * @param findings - All findings.
	 */
	constructor(summary: string, findings: readonly Finding[]) {
		super('findings', [summary, ...findings.map(finding => `  ${formatFinding(finding)}`)].join('\n'));
		this.findings = findings;
	}
}
