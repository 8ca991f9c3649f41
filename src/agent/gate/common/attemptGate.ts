import { SealOutcome } from '../../../services/link/common/messages.js';

/** What the gate says of an attempt that wants to run. */
export enum AdmitOutcome {
  /** The attempt is admitted and counts as run from now on. */
  Admitted = 'admitted',
  /** The attempt was admitted before. */
  Repeated = 'repeated',
  /** The attempt was sealed and must not run. */
  Sealed = 'sealed',
}

enum AttemptState {
  Running,
  Done,
  Forgotten,
  Sealed,
}

interface GateRecord {
  state: AttemptState;
  changedMs: number;
}

/** How long a gate remembers, in milliseconds. */
export interface GateRetention {
  /** Time for which the answer of a finished attempt is kept. */
  readonly answerMs: number;
  /** Time for which the outcome of an attempt is kept. */
  readonly outcomeMs: number;
}

/**
 * Decides which attempts run at an endpoint: an attempt is admitted at most once, and never after
 * it was sealed.
 */
export class AttemptGate {
  private readonly records = new Map<string, GateRecord>();

  /** @param retention - How long outcomes are remembered. */
  constructor(private readonly retention: GateRetention) {}

  /** Number of attempts that the gate remembers. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Asks to run an attempt.
   *
   * @param attempt - Identifier of the attempt.
   * @param nowMs - Monotonic time.
   * @returns Whether it may run.
   */
  admit(attempt: string, nowMs: number): AdmitOutcome {
    const record = this.records.get(attempt);
    if (record === undefined) {
      this.records.set(attempt, { state: AttemptState.Running, changedMs: nowMs });
      return AdmitOutcome.Admitted;
    }
    return record.state === AttemptState.Sealed ? AdmitOutcome.Sealed : AdmitOutcome.Repeated;
  }

  /**
   * Records that an admitted attempt ended and that its answer is kept.
   *
   * @param attempt - Identifier of the attempt.
   * @param nowMs - Monotonic time.
   */
  finish(attempt: string, nowMs: number): void {
    if (this.records.get(attempt)?.state === AttemptState.Running) {
      this.records.set(attempt, { state: AttemptState.Done, changedMs: nowMs });
    }
  }

  /**
   * Seals an attempt unless it was admitted.
   *
   * @param attempt - Identifier of the attempt.
   * @param nowMs - Monotonic time.
   * @returns `Sealed` if it can never run here, else what became of it.
   */
  seal(attempt: string, nowMs: number): SealOutcome {
    const record = this.records.get(attempt);
    if (record === undefined) {
      this.records.set(attempt, { state: AttemptState.Sealed, changedMs: nowMs });
      return SealOutcome.Sealed;
    }
    switch (record.state) {
      case AttemptState.Sealed:
        return SealOutcome.Sealed;
      case AttemptState.Running:
        return SealOutcome.Running;
      case AttemptState.Done:
        return SealOutcome.Ran;
      default:
        return SealOutcome.RanForgotten;
    }
  }

  /**
   * Forgets answers and outcomes that are past their retention.
   *
   * @param nowMs - Monotonic time.
   * @returns Attempts whose answers must be dropped.
   */
  expire(nowMs: number): readonly string[] {
    const dropped: string[] = [];
    for (const [attempt, record] of this.records) {
      const ageMs = nowMs - record.changedMs;
      if (record.state === AttemptState.Done && ageMs > this.retention.answerMs) {
        record.state = AttemptState.Forgotten;
        dropped.push(attempt);
      }
      if (record.state !== AttemptState.Running && ageMs > this.retention.outcomeMs) {
        this.records.delete(attempt);
      }
    }
    return dropped;
  }
}
