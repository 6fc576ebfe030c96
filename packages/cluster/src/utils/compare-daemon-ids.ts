const collator = new Intl.Collator('en', {numeric: true});

/**
 * Compares the ids of two daemons. Digits compare as numbers, so that addresses sort as the daemon numbers taken from them.
 * @param left - The first id.
 * @param right - The second id.
 *
 * @example
 * ```ts
 * compareDaemonIds('10.3.0.9', '10.3.0.40'); // negative
 * ```
 */
export function compareDaemonIds(left: string, right: string): number {
	return collator.compare(left, right);
}
