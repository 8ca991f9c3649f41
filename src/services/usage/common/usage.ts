/** Which side counted. */
export enum UsageSide {
  Agent = 'agent',
  Entry = 'entry',
}

/** What work is counted under. */
export interface UsageKey {
  readonly organisation: string;
  /** Name of the model or service. */
  readonly subject: string;
  /** Rule revision that admitted the work. */
  readonly revision: number;
}

/** Amounts of work; they only grow. */
export interface UsageAmounts {
  readonly requests: number;
  /** Generated tokens. */
  readonly tokens: number;
  /** Layers times positions. */
  readonly layerTokens: number;
  /** Time of plain-service calls, in milliseconds. */
  readonly callMs: number;
  /** Price of the work under its revision, in micro-units of the partners' currency. */
  readonly micros: number;
}

/** Amounts under one key. */
export type UsageRow = UsageKey & UsageAmounts;

/** Counters of one run of a process, as stored in the platform; each write replaces the last. */
export interface UsageRecord {
  readonly side: UsageSide;
  readonly instance: string;
  readonly incarnation: string;
  /** Wall-clock time of the first count, in milliseconds since 1970. */
  readonly sinceMs: number;
  /** Wall-clock time of the newest count, in milliseconds since 1970. */
  readonly untilMs: number;
  readonly rows: readonly UsageRow[];
}

/** Amounts of nothing. */
export const noUsage: UsageAmounts = {
  requests: 0,
  tokens: 0,
  layerTokens: 0,
  callMs: 0,
  micros: 0,
};

/**
 * Adds amounts.
 *
 * @param a - Some amounts.
 * @param b - Other amounts; missing ones count as zero.
 * @returns Their sums.
 */
export function addUsage(a: UsageAmounts, b: Partial<UsageAmounts>): UsageAmounts {
  return {
    requests: a.requests + (b.requests ?? 0),
    tokens: a.tokens + (b.tokens ?? 0),
    layerTokens: a.layerTokens + (b.layerTokens ?? 0),
    callMs: a.callMs + (b.callMs ?? 0),
    micros: a.micros + (b.micros ?? 0),
  };
}

/** Cumulative counters by key. */
export class UsageCounters {
  private readonly rows = new Map<string, UsageRow>();

  private changes = 0;

  /** Grows with each change. */
  get version(): number {
    return this.changes;
  }

  /**
   * Counts work.
   *
   * @param key - What it is counted under.
   * @param amounts - How much; missing amounts count as zero.
   */
  add(key: UsageKey, amounts: Partial<UsageAmounts>): void {
    const { organisation, subject, revision } = key;
    const id = `${organisation}\n${subject}\n${revision}`;
    const sum = addUsage(this.rows.get(id) ?? noUsage, amounts);
    this.rows.set(id, { organisation, subject, revision, ...sum });
    this.changes += 1;
  }

  /** Returns all rows. */
  snapshot(): readonly UsageRow[] {
    return [...this.rows.values()];
  }
}
