/** The values of one metric measured at several sizes. */
export type Slope = {
	name: string;
	unit: string;
	points: Array<{size: number; value: number}>;
};
