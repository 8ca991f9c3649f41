/** Size of the blocks that the beginning of a body is stored in, in bytes. */
export const smallBlockBytes = 4_096;

/** Size of the blocks that the rest of a body is stored in, in bytes. */
export const largeBlockBytes = 65_536;

/** Size of a body from which it is continued in large blocks, in bytes. */
const largeBlocksFromBytes = 4 * smallBlockBytes;

/**
 * Blocks of memory that are used again. Buffers that are left to the garbage collector stay allocated until
 * it runs, so a flood of bodies that are given up would use several times the memory of the account.
 */
export class BlockPool {
  private readonly smallBlocks: Buffer[] = [];

  private readonly largeBlocks: Buffer[] = [];

  private freeByteCount = 0;

  /** @param maxFreeBytes - Bytes of unused blocks that are kept. */
  constructor(private readonly maxFreeBytes: number) {}

  /** Bytes of the blocks that are kept unused. */
  get freeBytes(): number {
    return this.freeByteCount;
  }

  /**
   * Takes a block out of the pool.
   *
   * @param bytes - {@link smallBlockBytes} or {@link largeBlockBytes}.
   * @returns A block with arbitrary content.
   */
  take(bytes: number): Buffer {
    const block = this.listOf(bytes).pop();
    if (block === undefined) {
      return Buffer.allocUnsafeSlow(bytes);
    }
    this.freeByteCount -= bytes;
    return block;
  }

  /** Gives a block back that nothing refers to any more. */
  give(block: Buffer): void {
    if (this.freeByteCount + block.length <= this.maxFreeBytes) {
      this.freeByteCount += block.length;
      this.listOf(block.length).push(block);
    }
  }

  /** Drops unused blocks until no more than `bytes` of them are kept. */
  trim(bytes: number): void {
    while (this.freeByteCount > bytes) {
      const block = this.largeBlocks.pop() ?? this.smallBlocks.pop();
      this.freeByteCount -= block?.length ?? this.freeByteCount;
    }
  }

  private listOf(bytes: number): Buffer[] {
    return bytes === largeBlockBytes ? this.largeBlocks : this.smallBlocks;
  }
}

/**
 * Body of a request that arrives in pieces. Copies the pieces into blocks: a piece of one byte that is kept
 * as a buffer of its own takes a hundred times its size.
 */
export class BodyBuffer {
  private byteCount = 0;

  /** The only piece so far; most bodies arrive in one, which then isn't copied. */
  private singlePiece: Buffer | undefined;

  private blocks: Buffer[] = [];

  /** Bytes used of the last block. */
  private usedOfLast = 0;

  /** @param pool - Source of the blocks. */
  constructor(private readonly pool: BlockPool) {}

  /** Number of bytes that were added. */
  get length(): number {
    return this.byteCount;
  }

  /**
   * Adds the next bytes.
   *
   * @param piece - Bytes as received; the buffer may keep a reference to them.
   */
  append(piece: Buffer): void {
    if (this.byteCount === 0 && this.singlePiece === undefined) {
      this.singlePiece = piece;
    } else {
      if (this.singlePiece !== undefined) {
        const first = this.singlePiece;
        this.singlePiece = undefined;
        this.byteCount = 0;
        this.copy(first);
      }
      this.copy(piece);
      return;
    }
    this.byteCount += piece.length;
  }

  /** Returns the whole body in one buffer, and gives the blocks back. */
  take(): Buffer {
    if (this.singlePiece !== undefined) {
      const whole = this.singlePiece;
      this.clear();
      return whole;
    }
    const whole = Buffer.allocUnsafeSlow(this.byteCount);
    let offset = 0;
    this.blocks.forEach((block) => {
      offset += block.copy(whole, offset, 0, Math.min(block.length, this.byteCount - offset));
    });
    this.clear();
    return whole;
  }

  /** Discards the body and gives the blocks back. */
  clear(): void {
    this.blocks.forEach((block) => this.pool.give(block));
    this.blocks = [];
    this.singlePiece = undefined;
    this.usedOfLast = 0;
    this.byteCount = 0;
  }

  private copy(piece: Buffer): void {
    let offset = 0;
    while (offset < piece.length) {
      let last = this.blocks.at(-1);
      if (last === undefined || this.usedOfLast === last.length) {
        const bytes = this.byteCount < largeBlocksFromBytes ? smallBlockBytes : largeBlockBytes;
        last = this.pool.take(bytes);
        this.blocks.push(last);
        this.usedOfLast = 0;
      }
      const copied = piece.copy(last, this.usedOfLast, offset);
      offset += copied;
      this.usedOfLast += copied;
      this.byteCount += copied;
    }
  }
}
