/**
 * A line through measured points, with its error.
 *
 * @module
 */
import {linearRegression, linearRegressionLine, sum} from 'simple-statistics';

/** A fitted line: `value = intercept + slope * x`. */
export type FittedLine = {
	intercept: number;
	slope: number;
	/** Standard error of the slope; absent for fewer than three points. */
	slopeError: number | undefined;
};

/**
 * Fits a line by least squares.
 *
 * @param points Pairs of x and value.
 * @returns The line and the standard error of its slope.
 * @example
 * ```ts
 * fitLine([[0, 1], [1, 3], [2, 5]]); // {intercept: 1, slope: 2, slopeError: 0}
 * ```
 */
export function fitLine(points: Array<[number, number]>): FittedLine {
	const {m: slope, b: intercept} = linearRegression(points);
	if (points.length < 3) {
		return {intercept, slope, slopeError: undefined};
	}

	const line = linearRegressionLine({m: slope, b: intercept});
	const meanX = sum(points.map(([x]) => x)) / points.length;
	const spread = sum(points.map(([x]) => (x - meanX) ** 2));
	const residual = sum(points.map(([x, value]) => (value - line(x)) ** 2));
	return {intercept, slope, slopeError: Math.sqrt(residual / (points.length - 2) / spread)};
}
