import type {Slope} from './slope.js';

/** A straight line through the points of a slope. */
export type Line = {
	intercept: number;
	perUnitOfSize: number;
	/** The root mean square of the residuals, relative to the mean value. */
	relativeError: number;
};

/**
 * Fits a line by least squares.
 * @param points - The measured points.
 *
 * @example
 * ```ts
 * fitLine([{size: 1, value: 3}, {size: 2, value: 5}]); // intercept 1, perUnitOfSize 2, relativeError 0
 * ```
 */
export function fitLine(points: Slope['points']): Line {
	const meanSize = getMean(points.map(point => point.size));
	const meanValue = getMean(points.map(point => point.value));
	const covariance = getMean(points.map(point => (point.size - meanSize) * (point.value - meanValue)));
	const variance = getMean(points.map(point => (point.size - meanSize) ** 2));
	const perUnitOfSize = variance === 0 ? 0 : covariance / variance;
	const intercept = meanValue - (perUnitOfSize * meanSize);
	const squares = points.map(point => (point.value - intercept - (perUnitOfSize * point.size)) ** 2);
	return {intercept, perUnitOfSize, relativeError: meanValue === 0 ? 0 : Math.sqrt(getMean(squares)) / Math.abs(meanValue)};
}

function getMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}
