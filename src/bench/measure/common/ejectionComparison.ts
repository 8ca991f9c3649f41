import { SeededRandom } from '../../../base/common/random.js';
import {
  ConsecutiveFailures,
  SequentialTest,
  type IFailureDetector,
  type SequentialTestOptions,
} from '../../../services/ejection/common/failureDetector.js';
import { quantile, round } from './statistics.js';

/** Failure rate of healthy endpoints in the traces. */
const healthyRate = 0.01;

/** Failure rates of failing endpoints in the traces. */
const failingRates = [0.1, 0.3, 1];

/** Number of endpoints simulated for each failure rate; each has its own trace. */
const endpointCount = 200;

/** Number of requests in each trace. */
const requestCount = 5_000;

/** Probability that a short burst of failures starts at a request of a healthy endpoint. */
const burstRate = 0.0005;

/** Number of failures in a burst. */
const burstLength = 3;

/** Result of a detector on the traces. */
export interface DetectorResult {
  /** Number of the 200 healthy endpoints that were ejected within 5,000 requests. */
  readonly mistaken: number;
  /** Median and 95th percentile of the number of requests until ejection, by failure rate. */
  readonly requestsToEject: Readonly<
    Record<string, { readonly p50: number; readonly p95: number }>
  >;
  /** Number of the 200 failing endpoints that were never ejected, by failure rate. */
  readonly missed: Readonly<Record<string, number>>;
}

/**
 * Returns a trace of a healthy endpoint, with single failures and short bursts; true is a failure.
 */
function healthyTrace(random: SeededRandom): readonly boolean[] {
  let burst = 0;
  return Array.from({ length: requestCount }, () => {
    if (burst === 0 && random.float() < burstRate) {
      burst = burstLength;
    }
    const isBurst = burst > 0;
    burst = Math.max(0, burst - 1);
    return random.float() < healthyRate || isBurst;
  });
}

function failingTrace(random: SeededRandom, rate: number): readonly boolean[] {
  return Array.from({ length: requestCount }, () => random.float() < rate);
}

/** Returns the number of requests until the detector signals; undefined if it never does. */
function requestsUntilSignal(
  detector: IFailureDetector,
  trace: readonly boolean[],
): number | undefined {
  const index = trace.findIndex((failed) => detector.record(failed));
  return index < 0 ? undefined : index + 1;
}

function evaluate(seed: number, createDetector: () => IFailureDetector): DetectorResult {
  const random = new SeededRandom(seed);
  const createTraces = (createTrace: () => readonly boolean[]) =>
    Array.from({ length: endpointCount }, createTrace);
  const findSignals = (traces: readonly (readonly boolean[])[]) =>
    traces.map((trace) => requestsUntilSignal(createDetector(), trace));
  const healthy = findSignals(createTraces(() => healthyTrace(random)));
  const failing = failingRates.map((rate) => ({
    rate,
    signalledAt: findSignals(createTraces(() => failingTrace(random, rate))),
  }));
  const requestsToEject = failing.map(({ rate, signalledAt }) => {
    const requestCounts = signalledAt.filter((value) => value !== undefined);
    return [
      rate,
      { p50: quantile(requestCounts, 0.5), p95: quantile(requestCounts, 0.95) },
    ] as const;
  });
  const missedEjections = failing.map(
    ({ rate, signalledAt }) =>
      [rate, signalledAt.filter((value) => value === undefined).length] as const,
  );
  return {
    mistaken: healthy.filter((value) => value !== undefined).length,
    requestsToEject: Object.fromEntries(requestsToEject),
    missed: Object.fromEntries(missedEjections),
  };
}

/** Compared settings of the sequential test, by name. */
export const comparedTestOptions: Readonly<Record<string, SequentialTestOptions>> = {
  minimum1: { baseRate: healthyRate, minFailures: 1, criticalValue: 3.5, maxExpectedFailures: 5 },
  minimum3: { baseRate: healthyRate, minFailures: 3, criticalValue: 5, maxExpectedFailures: 5 },
  minimum4: { baseRate: healthyRate, minFailures: 4, criticalValue: 6, maxExpectedFailures: 5 },
  minimum5: { baseRate: healthyRate, minFailures: 5, criticalValue: 8, maxExpectedFailures: 5 },
  'minimum5-allowance': {
    baseRate: 2 * healthyRate,
    minFailures: 5,
    criticalValue: 8,
    maxExpectedFailures: 5,
  },
};

/** Compared numbers of consecutive failures. */
const comparedFailureCounts = [3, 5, 8];

/**
 * Compares detectors of failing endpoints on traces from the same seed.
 *
 * @param seed - Seed of the traces.
 * @returns Results by detector.
 */
export function compareDetectors(seed: number): Readonly<Record<string, DetectorResult>> {
  const consecutiveResults = comparedFailureCounts.map((limit) => {
    const result = evaluate(seed, () => new ConsecutiveFailures(limit));
    return [`consecutive${limit}`, result] as const;
  });
  const sequentialResults = Object.entries(comparedTestOptions).map(([name, options]) => {
    const result = evaluate(seed, () => new SequentialTest(options));
    return [`sequential-${name}`, result] as const;
  });
  return Object.fromEntries([...consecutiveResults, ...sequentialResults]);
}

/**
 * Formats a comparison as lines of text.
 *
 * @param results - Results by detector.
 * @returns One line for each detector.
 */
export function formatComparison(results: Readonly<Record<string, DetectorResult>>): string {
  return Object.entries(results)
    .map(([name, { mistaken, requestsToEject, missed }]) => {
      const rateColumns = failingRates.map((rate) => {
        const { p50, p95 } = requestsToEject[rate];
        return `${rate}: ${round(p50, 0)}/${round(p95, 0)} missed ${missed[rate]}`;
      });
      return `${name}: falsely ejected ${mistaken} of ${endpointCount}; ${rateColumns.join('; ')}`;
    })
    .join('\n');
}
