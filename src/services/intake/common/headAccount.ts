/** Heap that a connection uses, in bytes. */
export const connectionHeapBytes = 10_000;

/** Heap that a request uses besides its head, in bytes. */
const requestHeapBytes = 6_000;

/** Heap that each header field uses besides its characters, in bytes. */
const fieldHeapBytes = 100;

/** Heap per byte of a head that isn't complete; its fields can't be counted, and four bytes may be one. */
const partialHeadFactor = 20;

/** Heap that an incomplete head is charged for at most, in bytes; 400 heads without end would fill the account. */
const maxPartialHeadBytes = 60_000;

/**
 * Returns the heap that a request without its body uses.
 *
 * @param headBytes - Size of its head, in bytes.
 * @param fieldCount - Number of its header fields; many short ones take far more than their bytes.
 * @returns An estimate, in bytes.
 */
export function requestHeapCost(headBytes: number, fieldCount: number): number {
  return requestHeapBytes + headBytes + fieldHeapBytes * fieldCount;
}

/**
 * Returns the heap that the beginning of a head uses.
 *
 * @param bytes - Bytes that have arrived.
 * @returns An estimate, in bytes.
 */
export function partialHeadCost(bytes: number): number {
  return Math.min(maxPartialHeadBytes, partialHeadFactor * bytes);
}

/** Account of what connections and requests use of the heap. */
export class HeadAccount {
  private usedByteCount = 0;

  /** @param maxBytes - Bound of the account, in bytes. */
  constructor(private readonly maxBytes: number) {}

  /** Bytes in use. */
  get usedBytes(): number {
    return this.usedByteCount;
  }

  /** Whether nothing more fits. */
  get isFull(): boolean {
    return this.usedByteCount > this.maxBytes;
  }

  /**
   * Changes the use of the account.
   *
   * @param deltaBytes - Change in bytes.
   */
  charge(deltaBytes: number): void {
    this.usedByteCount += deltaBytes;
  }
}
