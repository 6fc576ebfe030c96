import {hasErrors, type ConfigurationFinding} from '@camphortack/configuration';
import {formatFinding} from '@camphortack/core';

/**
 * Formats the findings of a check, followed by a summary.
 * @param findings - The findings.
 */
export function formatFindings(findings: readonly ConfigurationFinding[]): string {
	const lines = findings.map(finding => `${finding.level}: ${formatFinding(finding)}`);
	const errorCount = findings.filter(finding => finding.level === 'error').length;
	const summary = hasErrors(findings) ? 'not ready to publish' : 'ready to publish';
	return [...lines, `${errorCount} errors, ${findings.length - errorCount} warnings: ${summary}`].join('\n');
}
