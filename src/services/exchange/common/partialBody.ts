/** Whole body of an answer, which is charged to the account of all answers until it is closed. */
export interface IHeldBody {
  readonly bytes: Buffer;
  /** Ends the charge, once nothing refers to the bytes any more. */
  close(): void;
}

/** Bytes that are kept until the rest of them has arrived. */
export interface IPartialBody {
  /** Number of bytes that are kept. */
  readonly length: number;
  /**
   * Adds the next bytes.
   *
   * @param piece - Bytes as received; a reference to them may be kept.
   */
  append(piece: Buffer): void;
  /** Returns what was kept and keeps nothing any more. */
  take(): Buffer;
}
