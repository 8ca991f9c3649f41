/**
 * Returns a quantile of a sample.
 *
 * @param values - Values in any order.
 * @param share - From 0 (smallest) to 1 (largest).
 * @returns The value at that share; NaN if there are no values.
 */
export function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? NaN;
}

/** Straight line y = slope * x + intercept. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
}

/**
 * Fits a straight line by least squares.
 *
 * @param points - Pairs of x and y, with at least two different values of x.
 * @returns The fitted line.
 */
export function fitLine(points: readonly (readonly [number, number])[]): Line {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
}

/**
 * Rounds to a number of decimal places.
 *
 * @param value - The value.
 * @param digits - Number of decimal places.
 * @returns The rounded value.
 */
export function round(value: number, digits = 2): number {
  return Number(value.toFixed(digits));
}
