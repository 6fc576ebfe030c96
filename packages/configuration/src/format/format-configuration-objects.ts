import {safe} from 'ini';
import {objectKinds} from '../objects/object-kinds.js';
import type {ConfigurationObjects} from '../objects/object-schemas.js';

/**
 * Formats objects as INI text. Reading the text back yields the same objects.
 * @param objects - The objects.
 *
 * @example
 * ```ts
 * formatConfigurationObjects(configurationObjectsSchema.parse({limits: {rate: {tasksPerSecond: 20}}}));
 * // [limit rate]
 * // tasksPerSecond = 20
 * // burstSeconds = 1
 * ```
 */
export function formatConfigurationObjects(objects: ConfigurationObjects): string {
	const sections = objectKinds.flatMap(({kind, collection}) => getSections(kind, objects[collection]));
	return sections.map(section => `${section}\n`).join('\n');
}

function getSections(kind: string, collection: Readonly<Record<string, Readonly<Record<string, unknown>>>>): string[] {
	return Object.entries(collection).map(([name, values]) => [`[${kind} ${name}]`, ...getLines(values, '')].join('\n'));
}

function getLines(values: Readonly<Record<string, unknown>>, prefix: string): string[] {
	return Object.entries(values).flatMap(([key, value]) => {
		if (isNested(value)) {
			return getLines(value, `${prefix}${key}.`);
		}

		return value === undefined ? [] : [`${prefix}${key} = ${formatValue(value)}`.trimEnd()];
	});
}

function isNested(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function formatValue(value: unknown): string {
	return Array.isArray(value) ? value.join(', ') : safe(typeof value === 'string' ? value : JSON.stringify(value));
}
