import type { Standstill } from '../common/records.js';

/** Interval between two looks at the clock, in milliseconds. */
const intervalMs = 20;

/** Shortest delay of the event loop that is recorded, in milliseconds. */
const minDelayMs = 100;

/** Records the spans in which this process did nothing, so that a report can be read beside them. */
export class StandstillMonitor {
  readonly standstills: Standstill[] = [];

  private lastMs = Date.now();

  private readonly timer = setInterval(() => this.look(), intervalMs);

  /** Stops recording. */
  close(): void {
    clearInterval(this.timer);
  }

  private look(): void {
    const nowMs = Date.now();
    if (nowMs - this.lastMs >= intervalMs + minDelayMs) {
      this.standstills.push({ startMs: this.lastMs, endMs: nowMs });
    }
    this.lastMs = nowMs;
  }
}
