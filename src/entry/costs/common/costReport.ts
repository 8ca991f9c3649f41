import {
  addUsage,
  noUsage,
  UsageSide,
  type UsageAmounts,
  type UsageRecord,
} from '../../../platform/usage/common/usage.js';

/** Line of the cost record: one organisation's work on one subject under one revision. */
export interface CostLine {
  readonly organisation: string;
  readonly subject: string;
  readonly revision: number;
  /** Amounts as the agents counted them. */
  readonly agents: UsageAmounts;
  /** Amounts as the entries counted them. */
  readonly entries: UsageAmounts;
  /** Agents' price less the entries' price, in micro-units. */
  readonly differenceMicros: number;
}

interface MutableLine {
  readonly organisation: string;
  readonly subject: string;
  readonly revision: number;
  agents: UsageAmounts;
  entries: UsageAmounts;
}

/**
 * Sums the counters of all processes.
 *
 * @param records - Usage records; those wholly outside the period are left out.
 * @param fromMs - Begin of the period, in milliseconds since 1970.
 * @param toMs - End of the period, in milliseconds since 1970.
 * @returns The lines, by organisation, subject and revision.
 */
export function costReport(
  records: readonly UsageRecord[],
  fromMs: number,
  toMs: number,
): readonly CostLine[] {
  const lines = new Map<string, MutableLine>();
  for (const record of records) {
    if (record.untilMs < fromMs || record.sinceMs > toMs) {
      continue;
    }
    for (const row of record.rows) {
      const { organisation, subject, revision } = row;
      const key = `${organisation}\n${subject}\n${revision}`;
      const line = lines.get(key) ?? {
        organisation,
        subject,
        revision,
        agents: noUsage,
        entries: noUsage,
      };
      lines.set(key, line);
      if (record.side === UsageSide.Agent) {
        line.agents = addUsage(line.agents, row);
      } else {
        line.entries = addUsage(line.entries, row);
      }
    }
  }
  return [...lines.entries()]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([, line]) => ({ ...line, differenceMicros: line.agents.micros - line.entries.micros }));
}
