import { SonicBoom } from 'sonic-boom';

/** Maximum bytes of log lines buffered for a slow reader; further lines are dropped. */
const maxBufferedBytes = 1_048_576;

/** Minimum bytes of log lines that are buffered before they are written. */
const minWriteBytes = 4_096;

/** Interval at which buffered lines are flushed, in milliseconds; bounds the delay of a line. */
const flushIntervalMs = 200;

const stdoutFileDescriptor = 1;

/** Writes log lines to standard output without blocking on a slow reader. */
export class LineWriter {
  private readonly stream = new SonicBoom({
    fd: stdoutFileDescriptor,
    sync: false,
    minLength: minWriteBytes,
    maxLength: maxBufferedBytes,
  });

  private readonly flushTimer = setInterval(() => this.stream.flush(), flushIntervalMs);

  /** @param onDrop - Called for each line dropped for a slow reader, and for each write error. */
  constructor(onDrop: () => void) {
    this.stream.on('drop', onDrop);
    this.stream.on('error', onDrop);
    this.flushTimer.unref();
  }

  /** Queues a line, which must include its line break. */
  write(line: string): void {
    this.stream.write(line);
  }

  /** Writes the buffered lines synchronously. */
  close(): void {
    clearInterval(this.flushTimer);
    this.stream.flushSync();
  }
}
