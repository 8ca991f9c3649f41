import type { IClock } from '../../../base/common/clock.js';

/**
 * Time after which another request tries an endpoint whose pause is over and that hasn't answered the
 * first one, in milliseconds.
 */
const trialTimeoutMs = 1_000;

interface Pause {
  /** Monotonic time at which the pause ends. */
  untilMs: number;
  /** Monotonic time at which the last request was sent after the end; undefined if there was none. */
  trialSentMs: number | undefined;
}

/**
 * Keeps requests from endpoints that want none for a while. When a pause is over, one request at a time
 * tries the endpoint until it answers without naming another pause.
 */
export class EndpointPauses {
  private readonly pauses = new Map<string, Pause>();

  /** @param clock - Source of time. */
  constructor(private readonly clock: IClock) {}

  /** Number of endpoints that want no requests now. */
  get count(): number {
    return [...this.pauses.keys()].filter((incarnation) => this.remainingMs(incarnation) > 0)
      .length;
  }

  /**
   * Records that an endpoint wants no requests. Never shortens its current pause.
   *
   * @param incarnation - Incarnation of the endpoint.
   * @param durationMs - Duration of the pause, in milliseconds.
   * @returns Whether the endpoint was not paused before.
   */
  record(incarnation: string, durationMs: number): boolean {
    const nowMs = this.clock.monotonicMs();
    const knownUntilMs = this.pauses.get(incarnation)?.untilMs ?? nowMs;
    const untilMs = Math.max(knownUntilMs, nowMs + durationMs);
    this.pauses.set(incarnation, { untilMs, trialSentMs: undefined });
    return knownUntilMs <= nowMs;
  }

  /** Returns the rest of an endpoint's pause, in milliseconds; 0 if it has none. */
  remainingMs(incarnation: string): number {
    const untilMs = this.pauses.get(incarnation)?.untilMs ?? Number.NEGATIVE_INFINITY;
    return Math.max(0, untilMs - this.clock.monotonicMs());
  }

  /** Returns whether an endpoint may be sent a request now. */
  mayUse(incarnation: string): boolean {
    const pause = this.pauses.get(incarnation);
    if (pause === undefined) {
      return true;
    }
    const nowMs = this.clock.monotonicMs();
    const isTrialRunning =
      pause.trialSentMs !== undefined && nowMs - pause.trialSentMs < trialTimeoutMs;
    return nowMs >= pause.untilMs && !isTrialRunning;
  }

  /** Records that an endpoint is sent a request. */
  recordSend(incarnation: string): void {
    const pause = this.pauses.get(incarnation);
    if (pause && this.clock.monotonicMs() >= pause.untilMs) {
      pause.trialSentMs = this.clock.monotonicMs();
    }
  }

  /**
   * Records an answer that names no pause.
   *
   * @param incarnation - Incarnation that answered.
   * @returns Whether it ended the restrictions after a pause.
   */
  recordAnswer(incarnation: string): boolean {
    const isTrialAnswered = this.pauses.get(incarnation)?.trialSentMs !== undefined;
    return isTrialAnswered && this.pauses.delete(incarnation);
  }

  /** Forgets an endpoint that is gone. */
  remove(incarnation: string): void {
    this.pauses.delete(incarnation);
  }
}
