import type {LimitStatus} from '../api/api-schemas.js';
import {formatTable} from './format-table.js';

/**
 * Formats limits and their usage as a table.
 * @param limits - The limits, as reported by the daemon.
 */
export function formatLimits(limits: readonly LimitStatus[]): string {
	if (limits.length === 0) {
		return 'no limits are declared';
	}

	const rows = limits.map(limit => [
		limit.resource === undefined ? limit.name : `${limit.name}/${limit.resource}`,
		limit.holderKind === undefined ? 'shared by all' : `${limit.holderKind}/${limit.holderName}`,
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
