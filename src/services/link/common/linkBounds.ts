const mebibyte = 1_048_576;

/** Room for the fields of a message beside its body, in bytes. */
const messageOverheadBytes = 65_536;

/** Largest size of a frame if no larger body is configured, in bytes. */
const defaultMaxFrameBytes = 4 * mebibyte;

/**
 * Returns the size of the largest frame that a link accepts.
 *
 * @param maxBodyBytes - Size of the largest body that a message carries, in bytes.
 * @returns The size, in bytes.
 */
export function maxFrameBytesFor(maxBodyBytes = 0): number {
  return Math.max(defaultMaxFrameBytes, maxBodyBytes + messageOverheadBytes);
}

/** Size of the largest first frame, in bytes; a hello has a few hundred. */
export const maxHelloBytes = 65_536;

/** Largest number of messages that a frame may hold. */
export const maxBatchMessages = 1_024;

/** Number of messages and size from which the messages of one turn are sent in several frames. */
export const sentBatchMessages = 128;
export const sentBatchBytes = mebibyte;

/** Least average size of the reads in which a frame of the largest size may arrive, in bytes. */
const minReadBytes = 1_024;

/** What each read that is kept until its frame is complete uses beside its bytes, in bytes. */
export const readOverheadBytes = 256;

/**
 * Returns the options of a web socket that carries a link. Links send no fragments and no pings, and one frame
 * is handled in each turn of the event loop.
 *
 * @param maxFrameBytes - Size of the largest frame, in bytes.
 */
export function webSocketOptions(maxFrameBytes: number) {
  return {
    perMessageDeflate: false,
    maxPayload: maxFrameBytes,
    maxFragments: 1,
    maxBufferedChunks: Math.ceil(maxFrameBytes / minReadBytes),
    allowSynchronousEvents: false,
    autoPong: false,
    skipUTF8Validation: true,
  };
}
