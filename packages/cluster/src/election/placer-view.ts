/** Which daemon places tasks, by the terms heard so far. */
export type PlacerView = {
	term: number;
	placerId: string;
};

/**
 * Whether a view is newer than another one. Two daemons that claim one term are told apart by their ids.
 * @param left - A view.
 * @param right - Another one.
 */
export function isNewerView(left: PlacerView, right: PlacerView): boolean {
	return left.term === right.term ? left.placerId > right.placerId : left.term > right.term;
}
