/** Collects the body of an answer up to a maximum size, since an endpoint in trouble may never end it. */
export class BoundedBody {
  private chunks: Buffer[] = [];

  private byteCount = 0;

  /** @param maxBytes - Maximum size of the body, in bytes. */
  constructor(private readonly maxBytes: number) {}

  /**
   * Adds the next bytes.
   *
   * @param chunk - Bytes as received.
   * @returns False if the body is too large; what was collected is then discarded.
   */
  append(chunk: Buffer): boolean {
    this.byteCount += chunk.length;
    if (this.byteCount > this.maxBytes) {
      this.chunks = [];
      return false;
    }
    this.chunks.push(chunk);
    return true;
  }

  /** Returns the whole body. */
  toBuffer(): Buffer {
    return Buffer.concat(this.chunks);
  }
}
