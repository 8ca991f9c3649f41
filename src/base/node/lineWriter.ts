import { SonicBoom } from 'sonic-boom';

/** Bytes of log lines that wait for a slow reader before further lines are dropped. */
const maxWaitingBytes = 1_048_576;

/** Bytes of log lines that are gathered before they are written. */
const batchBytes = 4_096;

/** Longest time that a line is kept before it is written, in milliseconds. */
const flushMs = 200;

const standardOutput = 1;

/** Writes log lines to standard output without ever waiting for its reader. */
export class LineWriter {
  private readonly stream = new SonicBoom({
    fd: standardOutput,
    sync: false,
    minLength: batchBytes,
    maxLength: maxWaitingBytes,
  });

  private readonly timer = setInterval(() => this.stream.flush(), flushMs);

  /** @param onDrop - Called for each line that a slow reader makes the writer drop. */
  constructor(onDrop: () => void) {
    this.stream.on('drop', onDrop);
    this.stream.on('error', onDrop);
    this.timer.unref();
  }

  /** Takes a line, with its line break. */
  write(line: string): void {
    this.stream.write(line);
  }

  /** Writes what is left at once. */
  close(): void {
    clearInterval(this.timer);
    this.stream.flushSync();
  }
}
