/** The placer that a daemon follows, and its term. The term may be known without a placer, whose id is then empty. */
export type PlacerView = {
	term: number;
	placerId: string;
};

/**
 * Whether a view is newer than another one. If two daemons claim the same term, the larger id wins.
 * @param left - The view to compare.
 * @param right - The view to compare it with.
 */
export function isNewerView(left: PlacerView, right: PlacerView): boolean {
	return left.term === right.term ? left.placerId > right.placerId : left.term > right.term;
}
