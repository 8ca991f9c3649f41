import type { DataCentreLatency } from './chainRouter.js';

/** Latency between two data centres, as given in the settings. */
export interface LatencyRecord {
  readonly from: string;
  readonly to: string;
  /** One-way latency, in milliseconds. */
  readonly ms: number;
}

/** One-way latency within a data centre, in milliseconds. */
const sameDataCentreLatencyMs = 0.1;

/** One-way latency between data centres that the settings do not list, in milliseconds. */
const defaultLatencyMs = 1;

/**
 * Creates a function for the latency between data centres; each record applies in both directions.
 *
 * @param records - Latencies from the settings.
 * @returns A function that returns the one-way latency between two data centres.
 */
export function dataCentreLatency(records: readonly LatencyRecord[]): DataCentreLatency {
  const latencies = new Map(
    records.flatMap(({ from, to, ms }): [string, number][] => [
      [`${from}\n${to}`, ms],
      [`${to}\n${from}`, ms],
    ]),
  );
  return (from, to) =>
    latencies.get(`${from}\n${to}`) ?? (from === to ? sameDataCentreLatencyMs : defaultLatencyMs);
}
