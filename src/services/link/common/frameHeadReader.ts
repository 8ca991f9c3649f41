/** Values of the length field from which the length is in two or eight bytes that follow. */
const twoByteLength = 126;
const eightByteLength = 127;

/** Value in the length field that tells that a mask follows the length. */
const maskFlag = 0x80;
const maskBytes = 4;

/** Reads the heads of web socket frames, so that the size of a frame is known before it is complete. */
export class FrameHeadReader {
  /** Number of bytes of the incomplete head. */
  private headBytes = 0;

  /** Size of the length field's extension, and of the whole head, in bytes; known from its second byte on. */
  private lengthBytes = 0;

  private headSize = 0;

  private payloadBytes = 0;

  private payloadLeft = 0;

  private received = 0;

  private size = 0;

  private count = 0;

  /** Number of complete frames. */
  get frameCount(): number {
    return this.count;
  }

  /** Bytes that have arrived of the incomplete frame; 0 if there is none. */
  get receivedBytes(): number {
    return this.received;
  }

  /** Size of the incomplete frame as far as it is known, in bytes. */
  get frameBytes(): number {
    return Math.max(this.size, this.received);
  }

  /**
   * Reads the next bytes.
   *
   * @param bytes - Bytes as received.
   * @returns Whether a frame ended in them.
   */
  read(bytes: Uint8Array): boolean {
    const countBefore = this.count;
    let position = 0;
    while (position < bytes.length) {
      if (this.payloadLeft > 0) {
        const taken = Math.min(this.payloadLeft, bytes.length - position);
        position += taken;
        this.received += taken;
        this.payloadLeft -= taken;
        if (this.payloadLeft === 0) {
          this.endFrame();
        }
      } else {
        this.readHeadByte(bytes[position]);
        position += 1;
      }
    }
    return this.count > countBefore;
  }

  private readHeadByte(byte: number): void {
    this.received += 1;
    this.headBytes += 1;
    if (this.headBytes === 2) {
      this.readLengthField(byte);
    } else if (this.headBytes > 2 && this.headBytes <= 2 + this.lengthBytes) {
      this.payloadBytes = 256 * this.payloadBytes + byte;
    }
    if (this.headBytes < 2 || this.headBytes < this.headSize) {
      return;
    }
    this.headBytes = 0;
    this.payloadLeft = this.payloadBytes;
    this.size = this.headSize + this.payloadBytes;
    if (this.payloadLeft === 0) {
      this.endFrame();
    }
  }

  private readLengthField(byte: number): void {
    const field = byte % maskFlag;
    this.lengthBytes = 0;
    if (field === twoByteLength) {
      this.lengthBytes = 2;
    } else if (field === eightByteLength) {
      this.lengthBytes = 8;
    }
    this.payloadBytes = this.lengthBytes === 0 ? field : 0;
    this.headSize = 2 + this.lengthBytes + (byte >= maskFlag ? maskBytes : 0);
  }

  private endFrame(): void {
    this.count += 1;
    this.received = 0;
    this.size = 0;
  }
}
