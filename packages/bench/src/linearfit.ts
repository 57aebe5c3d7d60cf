import { formatNumber } from './stats.js';

/** A value measured at a size. */
export interface DataPoint {
  readonly size: number;
  readonly value: number;
}

/** Linear model of a cost: `value = intercept + slope * size`. */
export interface LinearFit {
  readonly name: string;
  /** Unit of the value and of the size, for instance `bytes per group`. */
  readonly unit: string;
  readonly points: readonly DataPoint[];
  readonly slope: number;
  readonly intercept: number;
  /** Largest residual as a share of the largest value. */
  readonly worstResidual: number;
}

const DIGITS = 4;

/** Fits a line to the points by least squares. */
export function fitLine(name: string, unit: string, points: readonly DataPoint[]): LinearFit {
  const n = points.length;
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / n;
  const meanValue = points.reduce((sum, { value }) => sum + value, 0) / n;
  const spread = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
  const joint = points.reduce(
    (sum, { size, value }) => sum + (size - meanSize) * (value - meanValue),
    0,
  );
  const slope = spread === 0 ? 0 : joint / spread;
  const intercept = meanValue - slope * meanSize;
  const largest = Math.max(...points.map(({ value }) => Math.abs(value)), Number.EPSILON);
  const residuals = points.map(({ size, value }) => Math.abs(value - intercept - slope * size));
  return {
    name,
    unit,
    points: points.map(({ size, value }) => ({ size, value: formatNumber(value, 2) })),
    slope: formatNumber(slope, DIGITS),
    intercept: formatNumber(intercept, DIGITS),
    worstResidual: formatNumber(Math.max(...residuals) / largest),
  };
}

/** Measures the processor time of `task` in microseconds. */
export function measureCpu(task: () => void): number {
  const before = process.cpuUsage();
  task();
  const { user, system } = process.cpuUsage(before);
  return user + system;
}

/** Measures the processor time of an asynchronous `task` in microseconds. */
export async function measureCpuAsync(task: () => Promise<void>): Promise<number> {
  const before = process.cpuUsage();
  await task();
  const { user, system } = process.cpuUsage(before);
  return user + system;
}

/** Measures the heap in bytes that the value returned by `build` retains. Needs --expose-gc. */
export function measureHeap(build: () => unknown): number {
  if (!globalThis.gc) throw new Error('measuring the heap needs node --expose-gc');
  globalThis.gc();
  const before = process.memoryUsage().heapUsed;
  const kept = build();
  globalThis.gc();
  const used = process.memoryUsage().heapUsed - before;
  // Keeps the value reachable until the heap has been measured.
  return kept === undefined ? 0 : used;
}
