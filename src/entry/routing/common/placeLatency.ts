import type { PlaceLatency } from './chainRouter.js';

/** Latency between two places, from the settings. */
export interface LatencyRecord {
  readonly from: string;
  readonly to: string;
  /** One way, in milliseconds. */
  readonly ms: number;
}

/** Latency within a place, in milliseconds. */
const samePlaceMs = 0.1;

/** Latency between places for which none is set, in milliseconds. */
const otherPlaceMs = 1;

/**
 * Arranges latencies for look-ups; each record holds in both directions.
 *
 * @param records - Latencies from the settings.
 * @returns A function that returns the latency between two places.
 */
export function placeLatency(records: readonly LatencyRecord[]): PlaceLatency {
  const known = new Map(
    records.flatMap(({ from, to, ms }): [string, number][] => [
      [`${from}\n${to}`, ms],
      [`${to}\n${from}`, ms],
    ]),
  );
  return (from, to) => known.get(`${from}\n${to}`) ?? (from === to ? samePlaceMs : otherPlaceMs);
}
