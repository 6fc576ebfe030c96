import {getFields, type Field} from '../fields/field.js';
import {objectKinds} from '../objects/object-kinds.js';
import {settingsSchema} from '../settings/settings-schema.js';

const introduction = `# Configuration

This page is printed from the schemas; a test compares the two.

    node packages/configuration/dist/page/main.js > docs/CONFIGURATION.md

Both kinds of file are INI: \`key = value\` lines below a \`[section]\`, comments after \`;\` or \`#\`.
Lists are separated by commas. A value that holds \`;\` or \`#\` stands in double quotes, which then end the line.
The suffix of a key names its unit.`;

const objectsIntroduction = `## Objects

Operators edit objects, one a section: \`[pool walnut]\`. Objects may stand in any number of files and in any order.
A name has 1 to 128 letters, digits, ".", "_", ":" or "-". The whole set is checked together
(\`camphortack check\`) and published together (\`camphortack publish\`).`;

const settingsIntroduction = `## Settings of a daemon

Each daemon reads one file at its start: \`camphortackd --settings FILE\`. Every key has a default;
without a file one daemon runs with both roles on loopback.`;

/**
 * Gets the page that lists every object and setting with type, unit, default and bounds.
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
