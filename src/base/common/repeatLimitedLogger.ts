import type { IClock } from './clock.js';
import { LogLevel, type ILogger, type LogFields } from './logger.js';

interface WrittenLine {
  readonly writtenMs: number;
  leftOut: number;
}

/** Which lines a {@link RepeatLimitedLogger} limits. */
export interface RepeatLimit {
  /** Event of the lines. */
  readonly event: string;
  /** Field that names the subject of a line; lines of different subjects don't count together. */
  readonly subjectField: string;
  /** Minimum interval between lines of one subject, in milliseconds. */
  readonly intervalMs: number;
}

/**
 * Limits how often an event is logged for one subject. The number of lines left out is part of the
 * subject's next line, or of a line of its own if the event doesn't repeat within the interval.
 */
export class RepeatLimitedLogger implements ILogger {
  private readonly bySubject = new Map<string, WrittenLine>();

  /**
   * @param inner - Logger that writes the lines.
   * @param limit - The lines to limit; others are passed on.
   * @param clock - Source of time.
   */
  constructor(
    private readonly inner: ILogger,
    private readonly limit: RepeatLimit,
    private readonly clock: IClock,
  ) {}

  log(level: LogLevel, event: string, fields: LogFields = {}): void {
    if (event !== this.limit.event) {
      this.inner.log(level, event, fields);
      return;
    }
    const subject = String(fields[this.limit.subjectField]);
    const nowMs = this.clock.monotonicMs();
    const last = this.bySubject.get(subject);
    if (last && nowMs - last.writtenMs < this.limit.intervalMs) {
      last.leftOut += 1;
      return;
    }
    this.bySubject.delete(subject);
    this.forgetExpired(nowMs);
    this.bySubject.set(subject, { writtenMs: nowMs, leftOut: 0 });
    this.inner.log(level, event, last?.leftOut ? { ...fields, leftOut: last.leftOut } : fields);
  }

  private forgetExpired(nowMs: number): void {
    const { event, subjectField, intervalMs } = this.limit;
    for (const [subject, { writtenMs, leftOut }] of this.bySubject) {
      if (nowMs - writtenMs < intervalMs) {
        continue;
      }
      this.bySubject.delete(subject);
      if (leftOut > 0) {
        this.inner.log(LogLevel.Info, 'lines-left-out', {
          of: event,
          [subjectField]: subject,
          count: leftOut,
        });
      }
    }
  }
}
