/** Source of time, passed to decisions so that they need no global clock. */
export interface IClock {
  /** Monotonic time in milliseconds since an arbitrary start; never steps back. */
  monotonicMs(): number;
  /** Wall-clock time in milliseconds since 1970-01-01 UTC. */
  wallMs(): number;
}

/** Cancels the timer it was returned for. */
export type CancelTimer = () => void;

/** Timers, passed to code that waits so that tests can control them. */
export interface ITimers {
  /** Calls `action` once after `delayMs` milliseconds unless cancelled before. */
  after(delayMs: number, action: () => void): CancelTimer;
}
