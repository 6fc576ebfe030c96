import type {Definition} from 'clipanion';
import {createCli} from '../run-camphortack.js';

const introduction = `# The command line

This page is printed from the commands; a test compares the two.

    node packages/cli/dist/page/main.js > docs/COMMAND-LINE.md

Each command has \`--help\` and \`--json\`. With \`--json\` the result, or \`{"error": {"code", "message", "details"}}\`, goes to the
standard output. Progress and readable errors go to the standard error.

| environment variable | meaning |
| --- | --- |
| \`CAMPHORTACK_OPERATORS_URL\` | the address of a daemon's port for operators; \`--operators-url\` goes first |
| \`CAMPHORTACK_CALLERS_URL\` | the address of a daemon's port for callers; \`--callers-url\` goes first |
| \`CAMPHORTACK_TOKEN\` | the token; it is never given on the command line, where others could read it |

| exit code | meaning |
| --- | --- |
| 0 | done |
| 1 | errors were found, the job failed, or something is not known |
| 2 | the command line is not valid |
| 3 | the daemon could not be reached; nothing was done |
| 4 | the daemon refused; nothing was done |
| 5 | somebody else published first, or the id was used for another job |
| 6 | the request was sent and its outcome is not known |

Each request is sent once. \`publish\`, \`rollback\` and \`submit\` send theirs again, under the same id, while the outcome is not
known; the id makes that safe. After a few attempts they end with 6 and print how to go on.`;

/**
 * Gets the page that lists every command with its options and examples.
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
