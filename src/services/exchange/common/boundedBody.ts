import type { HeldAnswers } from './heldAnswers.js';

/** Collects the body of an answer up to a maximum size, since an endpoint in trouble may never end it. */
export class BoundedBody {
  private chunks: Buffer[] = [];

  private byteCount = 0;

  private isClosed = false;

  /**
   * @param maxBytes - Maximum size of the body, in bytes.
   * @param held - Counts what is kept.
   */
  constructor(
    private readonly maxBytes: number,
    private readonly held: HeldAnswers,
  ) {
    held.change(1, 0, 0);
  }

  /**
   * Adds the next bytes.
   *
   * @param chunk - Bytes as received.
   * @returns False if the body is too large; what was collected is then discarded.
   */
  append(chunk: Buffer): boolean {
    if (this.isClosed) {
      return true;
    }
    if (this.byteCount + chunk.length > this.maxBytes) {
      this.close();
      return false;
    }
    this.byteCount += chunk.length;
    this.chunks.push(chunk);
    this.held.change(0, chunk.length, 1);
    return true;
  }

  /** Returns the whole body. */
  toBuffer(): Buffer {
    return Buffer.concat(this.chunks);
  }

  /** Discards what was collected. */
  close(): void {
    if (!this.isClosed) {
      this.isClosed = true;
      this.held.change(-1, -this.byteCount, -this.chunks.length);
      this.chunks = [];
    }
  }
}
