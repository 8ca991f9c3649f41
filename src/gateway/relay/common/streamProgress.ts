/** What has arrived of a stream, over all its runs. */
export class StreamProgress {
  /** Number of events. */
  eventCount = 0;

  /** Number of events of the current run. */
  runEventCount = 0;

  /** Time from the arrival of the request to its first event, in milliseconds; undefined before that. */
  firstEventMs: number | undefined;

  /** Longest time between two events, in milliseconds. */
  longestPauseMs = 0;

  /** Monotonic time of the last event, or of the last other sign that the run goes on. */
  lastSignMs = 0;

  /** @param arrivedMs - Monotonic time at which the request arrived. */
  constructor(private readonly arrivedMs: number) {}

  /** Called when a run starts. */
  beginRun(): void {
    this.runEventCount = 0;
  }

  /** Records that the run goes on, without an event. */
  recordSign(nowMs: number): void {
    this.lastSignMs = nowMs;
  }

  /** Records events that arrived together. */
  recordEvents(count: number, nowMs: number): void {
    if (this.firstEventMs === undefined) {
      this.firstEventMs = nowMs - this.arrivedMs;
    } else {
      this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - this.lastSignMs);
    }
    this.lastSignMs = nowMs;
    this.eventCount += count;
    this.runEventCount += count;
  }
}
