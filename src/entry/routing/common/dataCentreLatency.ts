import type { DataCentreLatency } from './chainRouter.js';

/** Latency between two data centres, from the settings. */
export interface LatencyRecord {
  readonly from: string;
  readonly to: string;
  /** One way, in milliseconds. */
  readonly ms: number;
}

/** Latency within a data centre, in milliseconds. */
const sameDataCentreLatencyMs = 0.1;

/** Latency between data centres for which none is set, in milliseconds. */
const defaultLatencyMs = 1;

/**
 * Arranges latencies for look-ups; each record holds in both directions.
 *
 * @param records - Latencies from the settings.
 * @returns A function that returns the latency between two data centres.
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
