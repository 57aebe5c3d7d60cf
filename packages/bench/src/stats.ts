/** Returns the quantile `share` of the values, or 0 if there are none. */
export function computeQuantile(values: readonly number[], share: number): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}

/** Returns Jain's fairness index: 1 if all values are equal, 1/n if only one is not zero. */
export function computeFairness(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value * value, 0);
  return squares === 0 ? 1 : (sum * sum) / (values.length * squares);
}

/** Rounds a value to the digits that reports show. */
export function formatNumber(value: number, digits = 3): number {
  return Number(value.toFixed(digits));
}
