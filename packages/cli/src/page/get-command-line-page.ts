import type {Definition} from 'clipanion';
import {createCli} from '../run-camphortack.js';

const introduction = `# The command line

This page is generated from the commands. A test verifies that it is up to date.

    node packages/cli/dist/page/main.js > docs/COMMAND-LINE.md

Every command supports \`--help\` and \`--json\`. With \`--json\`, the result or \`{"error": {"code", "message", "details"}}\` is written
to standard output. Progress and readable errors are written to standard error.

| environment variable | meaning |
| --- | --- |
| \`CAMPHORTACK_OPERATORS_URL\` | the address of a daemon's port for operators; \`--operators-url\` takes precedence |
| \`CAMPHORTACK_CALLERS_URL\` | the address of a daemon's port for callers; \`--callers-url\` takes precedence |
| \`CAMPHORTACK_TOKEN\` | the token; it cannot be passed as an argument because other users could read it |

| exit code | meaning |
| --- | --- |
| 0 | success |
| 1 | errors were found, the job failed, or something was not found |
| 2 | the command line is not valid |
| 3 | the daemon could not be reached; nothing was done |
| 4 | the daemon refused; nothing was done |
| 5 | another version was published first, or the id was already used for another job |
| 6 | the request was sent, but its outcome is unknown |

Requests are not retried by default. \`publish\`, \`rollback\` and \`submit\` resend their request with the same id while its outcome
is unknown; the id makes this safe. After a few attempts they exit with code 6 and print how to continue.`;

/**
 * Generates the reference page of all commands, with their options and examples.
 *
 * @example
 * ```ts
 * getCommandLinePage().startsWith('# The command line'); // true
 * ```
 */
export function getCommandLinePage(): string {
	const definitions = createCli().definitions({colored: false}).toSorted((left, right) => (left.path < right.path ? -1 : 1));
	return `${[introduction, ...definitions.map(definition => formatDefinition(definition))].join('\n\n')}\n`;
}

function formatDefinition(definition: Definition): string {
	return [
		`## \`${definition.usage}\``,
		definition.description,
		definition.details?.replaceAll(/ +$/gmv, ''),
		formatOptions(definition.options),
		formatExamples(definition.examples ?? []),
	].map(part => part?.trim()).filter(part => part !== undefined && part !== '').join('\n\n');
}

function formatOptions(options: Definition['options']): string {
	const rows = options.map(option => `| \`${option.definition.replace('#0', 'VALUE')}\` | ${option.description ?? ''} |`);
	return ['| option | meaning |', '| --- | --- |', ...rows].join('\n');
}

function formatExamples(examples: ReadonlyArray<readonly [string, string]>): string {
	return examples.map(([title, example]) => `${title.trim()}:\n\n    ${example}`).join('\n\n');
}
