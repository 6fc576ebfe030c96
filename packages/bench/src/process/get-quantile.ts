/**
 * Gets a quantile of samples.
 * @param samples - The samples, in any order.
 * @param quantile - The quantile, from 0 to 1.
 */
export function getQuantile(samples: readonly number[], quantile: number): number {
	const sorted = samples.toSorted((left, right) => left - right);
	const index = Math.min(sorted.length - 1, Math.floor(sorted.length * quantile));
	return sorted[index] ?? Number.NaN;
}
