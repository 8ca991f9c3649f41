import * as v from 'valibot';
import { amountSchema } from '../../../base/common/boundedValues.js';

/** What a gateway tells its peers about the limit of an endpoint. */
export interface LimitReport {
  readonly incarnation: string;
  /** Limit that the endpoint names, in requests per second; undefined if it names none any more. */
  readonly perSecond: number | undefined;
  /** Age of that knowledge, in milliseconds. */
  readonly ageMs: number;
  /** Rate at which callers send the reporting gateway requests for the endpoint's service. */
  readonly demandPerSecond: number;
}

/** Format of a report between gateways: no field names, and null in place of a missing limit. */
export const limitReportSchema = v.pipe(
  v.tuple([v.string(), v.nullable(amountSchema), amountSchema, amountSchema]),
  v.transform(([incarnation, perSecond, ageMs, demandPerSecond]): LimitReport => ({
    incarnation,
    perSecond: perSecond ?? undefined,
    ageMs,
    demandPerSecond,
  })),
);

/**
 * Encodes a report in the format of {@link limitReportSchema}.
 *
 * @param report - The report to encode.
 * @returns An array of its values.
 */
export function limitReportToWire(report: LimitReport): unknown {
  const { incarnation, perSecond, ageMs, demandPerSecond } = report;
  return [incarnation, perSecond ?? null, Math.round(ageMs), demandPerSecond];
}
