import {safe} from 'ini';
import {objectKinds} from '../objects/object-kinds.js';
import type {ConfigurationObjects} from '../objects/object-schemas.js';

/**
 * Formats objects as an INI text that reads back as the same objects.
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
	const sections = objectKinds.flatMap(({kind, collection}) =>
		Object.entries(objects[collection]).map(([name, values]) => [`[${kind} ${name}]`, ...getLines(values, '')].join('\n')));
	return sections.map(section => `${section}\n`).join('\n');
}

function getLines(values: Readonly<Record<string, unknown>>, prefix: string): string[] {
	return Object.entries(values).flatMap(([key, value]) => {
		if (value === undefined) {
			return [];
		}

		if (Array.isArray(value)) {
			return [`${prefix}${key} = ${value.join(', ')}`.trimEnd()];
		}

		return isNested(value) ? getLines(value, `${prefix}${key}.`) : [`${prefix}${key} = ${safe(String(value))}`];
	});
}

function isNested(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null;
}
