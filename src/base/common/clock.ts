/** Source of time, injected so that code does not depend on a global clock. */
export interface IClock {
  /** Returns the monotonic time in milliseconds since an arbitrary start; it never goes back. */
  monotonicMs(): number;
  /** Returns the wall-clock time in milliseconds since 1970-01-01 UTC. */
  wallMs(): number;
}

/** Cancels the timer that it was returned for. */
export type CancelTimer = () => void;

/** Longest delay of a timer, in milliseconds; Node.js doesn't wait at all if it is longer. */
export const maxTimerMs = 2 ** 31 - 1;

/** Timers, injected so that tests can control them. */
export interface ITimers {
  /** Calls `action` once after `delayMs` milliseconds, {@link maxTimerMs} at most, unless cancelled before. */
  after(delayMs: number, action: () => void): CancelTimer;
}
