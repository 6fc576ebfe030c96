import {compareDaemonIds} from '../utils/compare-daemon-ids.js';

/** The placer that a daemon follows, and its term. The term may be known without a placer, whose id is then empty. */
export type PlacerView = {
	term: number;
	placerId: string;
};

/**
 * Whether a view is newer than another one. If two daemons claim the same term, the larger id wins. Fencing tokens use the
 * same order, so that the placer that is followed cannot lose its backend servers to the other one.
 * @param left - The view to compare.
 * @param right - The view to compare it with.
 */
export function isNewerView(left: PlacerView, right: PlacerView): boolean {
	return left.term === right.term ? compareDaemonIds(left.placerId, right.placerId) > 0 : left.term > right.term;
}

/**
 * Whether two views name the same placer in the same term.
 * @param left - One view.
 * @param right - The other view.
 */
export function isSameView(left: PlacerView, right: PlacerView): boolean {
	return left.term === right.term && left.placerId === right.placerId;
}
