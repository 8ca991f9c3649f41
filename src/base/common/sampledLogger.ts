import type { IClock } from './clock.js';
import { LogLevel, type ILogger, type LogFields } from './logger.js';

interface SampleWindow {
  readonly startMs: number;
  writtenLines: number;
  droppedLines: number;
}

const windowMs = 1_000;

/**
 * Limits the number of lines per second for each event. The number of dropped lines is logged as a
 * separate line before the event's first line after the window.
 */
export class SampledLogger implements ILogger {
  private readonly windows = new Map<string, SampleWindow>();

  /**
   * @param inner - Logger that writes the lines.
   * @param maxPerSecond - Maximum number of lines per second for each event.
   * @param clock - Source of time.
   */
  constructor(
    private readonly inner: ILogger,
    private readonly maxPerSecond: number,
    private readonly clock: IClock,
  ) {}

  log(level: LogLevel, event: string, fields?: LogFields): void {
    const window = this.windowOf(event);
    if (window.writtenLines < this.maxPerSecond) {
      window.writtenLines += 1;
      this.inner.log(level, event, fields);
    } else {
      window.droppedLines += 1;
    }
  }

  private windowOf(event: string): SampleWindow {
    const nowMs = this.clock.monotonicMs();
    const current = this.windows.get(event);
    if (current && nowMs - current.startMs < windowMs) {
      return current;
    }
    if (current && current.droppedLines > 0) {
      this.inner.log(LogLevel.Warn, 'lines-left-out', { of: event, count: current.droppedLines });
    }
    const created = { startMs: nowMs, writtenLines: 0, droppedLines: 0 };
    this.windows.set(event, created);
    return created;
  }
}
