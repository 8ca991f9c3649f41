import { pipe } from 'fp-ts/lib/function.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';
import * as NEA from 'fp-ts/lib/ReadonlyNonEmptyArray.js';
import * as RR from 'fp-ts/lib/ReadonlyRecord.js';
import * as S from 'fp-ts/lib/string.js';
import {
  addUsage,
  zeroUsage,
  UsageSide,
  type UsageAmounts,
  type UsageRecord,
  type UsageRow,
} from '../../../services/usage/common/usage.js';

/**
 * Line of the cost report: work of one organisation on one subject (a model or a service) under one
 * rule revision.
 */
export interface CostLine {
  readonly organisation: string;
  readonly subject: string;
  readonly revision: number;
  /** Amounts as the agents counted them. */
  readonly agents: UsageAmounts;
  /** Amounts as the entries counted them. */
  readonly entries: UsageAmounts;
  /** Price that the agents counted minus the price that the entries counted, in micro-units. */
  readonly differenceMicros: number;
}

interface RowWithSide {
  readonly side: UsageSide;
  readonly row: UsageRow;
}

function sumOf(rows: readonly RowWithSide[], side: UsageSide): UsageAmounts {
  return rows
    .filter((one) => one.side === side)
    .reduce((sum, { row }) => addUsage(sum, row), zeroUsage);
}

function lineOf(rows: NEA.ReadonlyNonEmptyArray<RowWithSide>): CostLine {
  const { organisation, subject, revision } = NEA.head(rows).row;
  const agents = sumOf(rows, UsageSide.Agent);
  const entries = sumOf(rows, UsageSide.Entry);
  const differenceMicros = agents.micros - entries.micros;
  return { organisation, subject, revision, agents, entries, differenceMicros };
}

/**
 * Sums the usage records of all processes.
 *
 * @param records - Usage records; those that lie wholly outside the period are left out.
 * @param fromMs - Start of the period, in milliseconds since 1970.
 * @param toMs - End of the period, in milliseconds since 1970.
 * @returns The lines, ordered by organisation, subject and revision.
 */
export function costReport(
  records: readonly UsageRecord[],
  fromMs: number,
  toMs: number,
): readonly CostLine[] {
  return pipe(
    records,
    RA.filter((record) => record.untilMs >= fromMs && record.sinceMs <= toMs),
    RA.chain(({ side, rows }) => rows.map((row): RowWithSide => ({ side, row }))),
    NEA.groupBy(({ row }) => `${row.organisation}\n${row.subject}\n${row.revision}`),
    RR.collect(S.Ord)((_key, rows) => lineOf(rows)),
  );
}
