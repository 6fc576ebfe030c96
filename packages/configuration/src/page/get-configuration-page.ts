import {getFields, type Field} from '../fields/field.js';
import {objectKinds} from '../objects/object-kinds.js';
import {settingsSchema} from '../settings/settings-schema.js';

const introduction = `# Configuration

This page is generated from the schemas. A test verifies that it is up to date.

    node packages/configuration/dist/page/main.js > docs/CONFIGURATION.md

Both kinds of file are INI: \`key = value\` lines below a \`[section]\`, comments after \`;\` or \`#\`.
List items are separated by commas. A value that contains \`;\` or \`#\` must be enclosed in double quotes, and nothing may follow
the closing quote. The suffix of a key indicates its unit.`;

const objectsIntroduction = `## Objects

Operators edit objects, one per section: \`[pool walnut]\`. Objects can be spread over any number of files, in any order.
A name has 1 to 128 letters, digits, ".", "_", ":" or "-". All objects are checked together
(\`camphortack check\`) and published together (\`camphortack publish\`).`;

const settingsIntroduction = `## Settings of a daemon

Each daemon reads one file at startup: \`camphortackd --settings FILE\`. Every key has a default;
without a file, a single daemon runs with both roles on loopback.`;

/**
 * Generates the reference page of all objects and settings, with the accepted values, unit and default of each key.
 *
 * @example
 * ```ts
 * getConfigurationPage().startsWith('# Configuration'); // true
 * ```
 */
export function getConfigurationPage(): string {
	const objectParts = objectKinds.map(({kind, schema, description}) => `### \`[${kind} NAME]\`\n\n${description}\n\n${getTable(getFields(schema))}`);
	const settingParts = Object.entries(settingsSchema.shape).map(([name, schema]) =>
		`### \`[${name}]\`\n\n${schema.description ?? ''}\n\n${getTable(getFields(schema))}`);
	return `${[introduction, objectsIntroduction, ...objectParts, settingsIntroduction, ...settingParts].join('\n\n')}\n`;
}

function getTable(fields: readonly Field[]): string {
	const header = '| key | meaning | accepted | unit | default |\n| --- | --- | --- | --- | --- |';
	return [header, ...fields.map(field => getRow(field))].join('\n');
}

function getRow(field: Field): string {
	return `| \`${field.key}\` | ${field.description} | ${field.bounds} | ${field.unit} | ${getDefault(field)} |`;
}

function getDefault(field: Field): string {
	if (field.isRequired) {
		return 'required';
	}

	if (field.defaultText === undefined) {
		return 'not set';
	}

	return field.defaultText === '' ? 'empty' : `\`${field.defaultText}\``;
}
