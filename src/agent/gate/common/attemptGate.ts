import { SealOutcome } from '../../../services/link/common/messages.js';

/** Decision of the gate on an attempt that is to run. */
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
  Finished,
  AnswerDropped,
  Sealed,
}

interface GateRecord {
  state: AttemptState;
  changedMs: number;
}

/** Retention times of an attempt gate, in milliseconds. */
export interface GateRetention {
  /** Time for which the answer of a finished attempt is kept. */
  readonly answerRetentionMs: number;
  /** Time for which the outcome of an attempt is kept. */
  readonly outcomeRetentionMs: number;
}

/**
 * Decides which attempts run at an endpoint: an attempt is admitted at most once, and never after
 * it was sealed.
 */
export class AttemptGate {
  private readonly records = new Map<string, GateRecord>();

  /** @param retention - How long answers and outcomes are kept. */
  constructor(private readonly retention: GateRetention) {}

  /** Number of attempts on record. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Admits an attempt unless it has been admitted or sealed before.
   *
   * @param attempt - Identifier of the attempt.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Whether the attempt may run.
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
   * Records that an admitted attempt has ended, and starts the retention time of its answer.
   *
   * @param attempt - Identifier of the attempt.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  finish(attempt: string, nowMs: number): void {
    if (this.records.get(attempt)?.state === AttemptState.Running) {
      this.records.set(attempt, { state: AttemptState.Finished, changedMs: nowMs });
    }
  }

  /**
   * Seals an attempt unless it has been admitted before.
   *
   * @param attempt - Identifier of the attempt.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns `Sealed` if the attempt can never run here, otherwise the state of its run.
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
      case AttemptState.Finished:
        return SealOutcome.Ran;
      default:
        return SealOutcome.RanForgotten;
    }
  }

  /**
   * Marks answers as dropped and removes outcomes once their retention time is over.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Attempts whose kept answers must be deleted.
   */
  expire(nowMs: number): readonly string[] {
    const expiredAnswers: string[] = [];
    for (const [attempt, record] of this.records) {
      const ageMs = nowMs - record.changedMs;
      if (record.state === AttemptState.Finished && ageMs > this.retention.answerRetentionMs) {
        record.state = AttemptState.AnswerDropped;
        expiredAnswers.push(attempt);
      }
      if (record.state !== AttemptState.Running && ageMs > this.retention.outcomeRetentionMs) {
        this.records.delete(attempt);
      }
    }
    return expiredAnswers;
  }
}
