/** Program that counted the work. */
export enum UsageSide {
  Agent = 'agent',
  Entry = 'entry',
}

/** Attributes by which work is counted. */
export interface UsageKey {
  readonly organisation: string;
  /** Name of the model or service. */
  readonly subject: string;
  /** Rule revision under which the work was admitted. */
  readonly revision: number;
}

/** Amounts of work. Those of a usage record never decrease. */
export interface UsageAmounts {
  readonly requests: number;
  /** Generated tokens. */
  readonly tokens: number;
  /** Number of layers times number of token positions, summed over the work. */
  readonly layerTokens: number;
  /** Duration of calls to plain services, in milliseconds. */
  readonly callMs: number;
  /** Price of the work under its rule revision, in micro-units of the partners' currency. */
  readonly micros: number;
}

/** Amounts of work that were counted under one key. */
export type UsageRow = UsageKey & UsageAmounts;

/** Counters of one run of a process, as stored in the platform. Each write replaces them. */
export interface UsageRecord {
  readonly side: UsageSide;
  readonly instance: string;
  readonly incarnation: string;
  /** Wall-clock time at which counting began, in milliseconds since 1970. */
  readonly sinceMs: number;
  /** Wall-clock time up to which work is counted, in milliseconds since 1970. */
  readonly untilMs: number;
  readonly rows: readonly UsageRow[];
}

/** Amounts that are all zero. */
export const zeroUsage: UsageAmounts = {
  requests: 0,
  tokens: 0,
  layerTokens: 0,
  callMs: 0,
  micros: 0,
};

/**
 * Adds amounts of work.
 *
 * @param a - First amounts.
 * @param b - Amounts to add; missing ones count as zero.
 * @returns Sum of each amount.
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

/** Cumulative counters of work, by key. */
export class UsageCounters {
  private readonly rows = new Map<string, UsageRow>();

  private changeCount = 0;

  /** Increases with each change of the counters. */
  get version(): number {
    return this.changeCount;
  }

  /**
   * Adds work to the counters.
   *
   * @param key - Key under which the work is counted.
   * @param amounts - Amounts of the work; missing ones count as zero.
   */
  add(key: UsageKey, amounts: Partial<UsageAmounts>): void {
    const { organisation, subject, revision } = key;
    const id = `${organisation}\n${subject}\n${revision}`;
    const sum = addUsage(this.rows.get(id) ?? zeroUsage, amounts);
    this.rows.set(id, { organisation, subject, revision, ...sum });
    this.changeCount += 1;
  }

  /** Returns the current rows of all keys. */
  snapshot(): readonly UsageRow[] {
    return [...this.rows.values()];
  }
}
