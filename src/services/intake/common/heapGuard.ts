/**
 * Share of the heap limit above which new requests are refused. V8 collects garbage halfway between the live
 * size and the limit at the latest, so more than 0.6 of the limit is in use for certain then.
 */
const closeShare = 0.8;

/** Share of the heap limit below which new requests are admitted again. */
const openShare = 0.7;

/** Size of the V8 heap, in bytes. */
export interface HeapUse {
  readonly usedBytes: number;
  readonly limitBytes: number;
}

/** Tells when the process comes so close to its heap limit that it must not admit new requests. */
export class HeapGuard {
  private isClosed = false;

  /** Whether new requests must be refused. */
  get mustRefuse(): boolean {
    return this.isClosed;
  }

  /**
   * Records the size of the heap.
   *
   * @param use - Current size and limit.
   * @returns Whether {@link mustRefuse} changed.
   */
  update({ usedBytes, limitBytes }: HeapUse): boolean {
    const wasClosed = this.isClosed;
    this.isClosed = usedBytes > limitBytes * (wasClosed ? openShare : closeShare);
    return this.isClosed !== wasClosed;
  }
}
