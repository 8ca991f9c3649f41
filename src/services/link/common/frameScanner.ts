/** Bounds on what the decoding of one frame may create. */
export interface FrameBounds {
  /** Largest depth of nested arrays and maps. */
  readonly maxDepth: number;
  /** Largest number of values, of which arrays, maps and the keys of maps are some. */
  readonly maxValues: number;
  /** Largest number of arrays and maps; an empty one is one byte and takes fifty in memory. */
  readonly maxContainers: number;
}

/** Bounds of all links; a frame of usual messages has a hundredth of these. */
export const frameBounds: FrameBounds = {
  maxDepth: 16,
  maxValues: 262_144,
  maxContainers: 16_384,
};

/** Number of record structures that a sender may use at the same time. */
const structureCount = 64;

/** First byte of a reference to a record structure. */
const firstStructure = 0x40;

/** Largest number of keys of a record structure. */
const maxKeys = 64;

/** Values that the definition of a record structure counts as; the decoder compiles a function for it. */
const definitionValues = 256;

/** Extension type by which record structures are defined, and the one that stands for an undefined value. */
const recordExtension = 0x72;
const undefinedExtension = 0;

/** Sizes of the values from 0xca (a 32-bit float) to 0xd3 (a 64-bit integer), in bytes. */
const numberBytes = [4, 8, 1, 2, 4, 8, 1, 2, 4, 8];

class InvalidFrameError extends Error {}

/**
 * Checks the frames of one direction of a link before they are decoded: that all lengths fit into the frame,
 * and that decoding creates no more than the bounds allow. To be given each frame, in order, since frames
 * refer to record structures that earlier ones define.
 */
export class FrameScanner {
  /** Number of keys of each record structure. */
  private readonly keyCounts: (number | undefined)[] = Array.from({ length: structureCount });

  private bytes: Uint8Array = new Uint8Array();

  private position = 0;

  private valueCount = 0;

  private containerCount = 0;

  /**
   * @param bounds - Bounds of each frame.
   * @param hasRecords - Whether frames define and use record structures; without them, the bytes that refer to
   *   one are small integers.
   */
  constructor(
    private readonly bounds: FrameBounds,
    private readonly hasRecords = true,
  ) {}

  /**
   * Checks a frame.
   *
   * @param bytes - The frame.
   * @returns Whether it is one value that may be decoded.
   */
  check(bytes: Uint8Array): boolean {
    this.bytes = bytes;
    this.position = 0;
    this.valueCount = 0;
    this.containerCount = 0;
    try {
      this.skipValue(0);
      return this.position === bytes.length;
    } catch (err) {
      if (err instanceof InvalidFrameError) {
        return false;
      }
      throw err;
    } finally {
      this.bytes = new Uint8Array();
    }
  }

  private skipValue(depth: number): void {
    this.countValues(1);
    const type = this.readUint(1);
    if (type < (this.hasRecords ? firstStructure : 0x80) || type >= 0xe0) {
      return; // a small integer
    }
    if (type < 0x80) {
      this.skipRecord(this.keyCounts[type - firstStructure], depth);
    } else if (type < 0x90) {
      this.skipValues(2 * (type - 0x80), depth);
    } else if (type < 0xa0) {
      this.skipValues(type - 0x90, depth);
    } else if (type < 0xc0) {
      this.skipBytes(type - 0xa0);
    } else {
      this.skipTyped(type, depth);
    }
  }

  private skipTyped(type: number, depth: number): void {
    switch (type) {
      case 0xc0:
      case 0xc2:
      case 0xc3:
        return; // null, false, true
      case 0xc4:
      case 0xc5:
      case 0xc6:
        this.skipBytes(this.readUint(2 ** (type - 0xc4)));
        return;
      case 0xd4:
        this.skipExtension(depth);
        return;
      case 0xd9:
      case 0xda:
      case 0xdb:
        this.skipBytes(this.readUint(2 ** (type - 0xd9)));
        return;
      case 0xdc:
      case 0xdd:
        this.skipValues(this.readUint(type === 0xdc ? 2 : 4), depth);
        return;
      case 0xde:
      case 0xdf:
        this.skipValues(2 * this.readUint(type === 0xde ? 2 : 4), depth);
        return;
      default:
        if (type < 0xca || type > 0xd3) {
          throw new InvalidFrameError();
        }
        this.skipBytes(numberBytes[type - 0xca]);
    }
  }

  /** Skips an extension of one byte: the definition of a record structure, or an undefined value. */
  private skipExtension(depth: number): void {
    const extension = this.readUint(1);
    const data = this.readUint(1);
    if (extension === undefinedExtension) {
      return;
    }
    const structure = this.hasRecords ? data - firstStructure : -1;
    if (extension !== recordExtension || structure < 0 || structure >= structureCount) {
      throw new InvalidFrameError();
    }
    this.countValues(definitionValues);
    const keyCount = this.skipKeys();
    this.keyCounts[structure] = keyCount;
    this.skipRecord(keyCount, depth);
  }

  /** Skips the array with the keys of a record structure, and returns their number. */
  private skipKeys(): number {
    const type = this.readUint(1);
    const keyCount = type === 0xdc ? this.readUint(2) : type - 0x90;
    if (keyCount < 0 || keyCount > maxKeys) {
      throw new InvalidFrameError();
    }
    for (let index = 0; index < keyCount; index += 1) {
      const keyType = this.readUint(1);
      if (keyType === 0xd9) {
        this.skipBytes(this.readUint(1));
      } else if (keyType >= 0xa0 && keyType < 0xc0) {
        this.skipBytes(keyType - 0xa0);
      } else {
        throw new InvalidFrameError();
      }
    }
    return keyCount;
  }

  private skipRecord(keyCount: number | undefined, depth: number): void {
    if (keyCount === undefined) {
      throw new InvalidFrameError();
    }
    this.skipValues(keyCount, depth);
  }

  /** Skips the content of an array, a map or a record. */
  private skipValues(count: number, depth: number): void {
    this.containerCount += 1;
    const remainingBytes = this.bytes.length - this.position;
    if (
      depth >= this.bounds.maxDepth ||
      count > remainingBytes ||
      this.containerCount > this.bounds.maxContainers
    ) {
      throw new InvalidFrameError();
    }
    for (let index = 0; index < count; index += 1) {
      this.skipValue(depth + 1);
    }
  }

  private countValues(count: number): void {
    this.valueCount += count;
    if (this.valueCount > this.bounds.maxValues) {
      throw new InvalidFrameError();
    }
  }

  private readUint(size: number): number {
    const start = this.position;
    this.skipBytes(size);
    let value = 0;
    for (let index = start; index < this.position; index += 1) {
      value = 256 * value + this.bytes[index];
    }
    return value;
  }

  private skipBytes(count: number): void {
    this.position += count;
    if (this.position > this.bytes.length) {
      throw new InvalidFrameError();
    }
  }
}
