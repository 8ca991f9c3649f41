import type { CancelTimer, IClock, ITimers } from '../../common/clock.js';

/** Clock that a test advances by hand; timers fire when their time is reached. */
export class FakeClock implements IClock, ITimers {
  private nowMs = 0;

  /** Time by which the wall clock is ahead because it went on while the process was suspended. */
  private suspendedMs = 0;

  private timers: { readonly atMs: number; readonly action: () => void }[] = [];

  monotonicMs(): number {
    return this.nowMs;
  }

  wallMs(): number {
    return this.nowMs + this.suspendedMs;
  }

  /** Lets time pass that the monotonic clock doesn't count, as when the machine is suspended. */
  suspend(forMs: number): void {
    this.suspendedMs += forMs;
  }

  after(delayMs: number, action: () => void): CancelTimer {
    const timer = { atMs: this.nowMs + delayMs, action };
    this.timers.push(timer);
    return () => {
      this.timers = this.timers.filter((other) => other !== timer);
    };
  }

  /** Advances the time and fires the timers that are due, in the order of their times. */
  advance(byMs: number): void {
    this.nowMs += byMs;
    const due = this.timers.filter((timer) => timer.atMs <= this.nowMs);
    this.timers = this.timers.filter((timer) => timer.atMs > this.nowMs);
    due.sort((a, b) => a.atMs - b.atMs).forEach((timer) => timer.action());
  }
}
