import type { IClock } from './clock.js';
import { LogLevel, type ILogger, type LogFields } from './logger.js';

interface Window {
  readonly startMs: number;
  lines: number;
  leftOut: number;
}

const windowMs = 1_000;

/** Bounds the lines a second of each event, and says how many it left out. */
export class SampledLogger implements ILogger {
  private readonly windows = new Map<string, Window>();

  /**
   * @param inner - Writes the lines.
   * @param maxPerSecond - Lines of one event a second.
   * @param clock - Source of time.
   */
  constructor(
    private readonly inner: ILogger,
    private readonly maxPerSecond: number,
    private readonly clock: IClock,
  ) {}

  log(level: LogLevel, event: string, fields?: LogFields): void {
    const window = this.windowOf(event);
    if (window.lines < this.maxPerSecond) {
      window.lines += 1;
      this.inner.log(level, event, fields);
    } else {
      window.leftOut += 1;
    }
  }

  private windowOf(event: string): Window {
    const now = this.clock.monotonicMs();
    const known = this.windows.get(event);
    if (known && now - known.startMs < windowMs) {
      return known;
    }
    if (known && known.leftOut > 0) {
      this.inner.log(LogLevel.Warn, 'lines-left-out', { of: event, count: known.leftOut });
    }
    const created = { startMs: now, lines: 0, leftOut: 0 };
    this.windows.set(event, created);
    return created;
  }
}
