import type {LimitStatus} from '../api/api-schemas.js';
import {formatTable} from './format-table.js';

/**
 * Formats the limits and their use as a table.
 * @param limits - The limits, as the daemon reports them.
 */
export function formatLimits(limits: readonly LimitStatus[]): string {
	if (limits.length === 0) {
		return 'no limits are declared';
	}

	const rows = limits.map(limit => [
		limit.resource === undefined ? limit.name : `${limit.name}/${limit.resource}`,
		limit.holderKind === undefined ? 'all that name it' : `${limit.holderKind}/${limit.holderName}`,
		formatAmount(limit.declared),
		formatAmount(limit.share),
		formatAmount(limit.used),
	]);
	return formatTable(['limit', 'holder', 'declared', 'share here', 'used'], rows);
}

function formatAmount(amount: LimitStatus['declared']): string {
	if (typeof amount === 'number') {
		return String(round(amount));
	}

	return Object.entries(amount).map(([dimension, value]) => `${dimension} ${round(value)}`).join(', ');
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}
