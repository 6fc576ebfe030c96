import type {ObjectDifference} from './get-object-differences.js';

/**
 * Formats differences as readable text, with `+` for added, `-` for removed and `~` for changed objects.
 * @param differences - The differences.
 *
 * @example
 * ```ts
 * formatObjectDifferences([{change: 'changed', object: 'customer/chain', keys: [{key: 'weight', before: 1, after: 2}]}]);
 * // ~ customer/chain
 * //     weight: 1 -> 2
 * ```
 */
export function formatObjectDifferences(differences: readonly ObjectDifference[]): string {
	return differences.flatMap(difference => getLines(difference)).join('\n');
}

function getLines(difference: ObjectDifference): string[] {
	switch (difference.change) {
		case 'added': {
			return [`+ ${difference.object}`, ...getValueLines(difference.after)];
		}

		case 'removed': {
			return [`- ${difference.object}`, ...getValueLines(difference.before)];
		}

		case 'changed': {
			const keyLines = difference.keys.map(({key, before, after}) => `    ${key}: ${formatValue(before)} -> ${formatValue(after)}`);
			return [`~ ${difference.object}`, ...keyLines];
		}
	}
}

function getValueLines(values: Readonly<Record<string, unknown>>): string[] {
	return Object.entries(values).map(([key, value]) => `    ${key}: ${formatValue(value)}`);
}

function formatValue(value: unknown): string {
	if (value === undefined) {
		return 'not set';
	}

	return Array.isArray(value) ? `[${value.join(', ')}]` : JSON.stringify(value);
}
