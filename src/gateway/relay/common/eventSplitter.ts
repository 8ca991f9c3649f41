/** Complete events of a stream, as the bytes that the endpoint sent. */
export interface EventBatch {
  /** Complete events and comments, including the blank lines that end them. */
  readonly bytes: Buffer;
  /** Id of the first event; undefined if it has none, or if there are only comments. */
  readonly firstId: string | undefined;
  /** Id of the last event that has one. */
  readonly lastId: string | undefined;
  /** Number of events; 0 if there are only comments. */
  readonly count: number;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const colon = 0x3a;
const idField = Buffer.from('id:');

/** Returns whether a block of lines holds only comments, which endpoints may send while they stall. */
function isComment(block: Buffer): boolean {
  let isLineStart = true;
  for (const byte of block) {
    const endsLine = byte === lineFeed || byte === carriageReturn;
    if (isLineStart && !endsLine && byte !== colon) {
      return false;
    }
    isLineStart = endsLine;
  }
  return true;
}

/** Returns the index after the blank line that ends the next event, or -1 if there is none. */
function endOfEvent(bytes: Buffer, start: number): number {
  for (
    let index = bytes.indexOf(lineFeed, start);
    index >= 0;
    index = bytes.indexOf(lineFeed, index + 1)
  ) {
    if (bytes[index + 1] === lineFeed) {
      return index + 2;
    }
    if (bytes[index + 1] === carriageReturn && bytes[index + 2] === lineFeed) {
      return index + 3;
    }
  }
  return -1;
}

function idOf(event: Buffer): string | undefined {
  let index = event.indexOf(idField);
  while (index > 0 && event[index - 1] !== lineFeed) {
    index = event.indexOf(idField, index + 1);
  }
  if (index < 0) {
    return undefined;
  }
  const end = event.indexOf(lineFeed, index);
  return event.toString('utf8', index + idField.length, end).trim();
}

/**
 * Splits a byte stream of server-sent events into batches of complete events.
 *
 * A parser library is not used because it would decode the events, whereas a relay must forward their
 * bytes unchanged.
 */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Bytes of the last event, whose end hasn't arrived; empty if there are none. */
  get partial(): Buffer {
    return this.rest;
  }

  /**
   * Adds the next bytes of the stream.
   *
   * @param chunk - Bytes as received.
   * @returns The events and comments that these bytes complete, or undefined if there are none.
   */
  push(chunk: Buffer): EventBatch | undefined {
    const bytes = this.rest.length > 0 ? Buffer.concat([this.rest, chunk]) : chunk;
    let start = 0;
    let count = 0;
    let firstId: string | undefined;
    let lastId: string | undefined;
    for (let end = endOfEvent(bytes, 0); end >= 0; end = endOfEvent(bytes, end)) {
      const block = bytes.subarray(start, end);
      if (!isComment(block)) {
        const id = idOf(block);
        firstId = count === 0 ? id : firstId;
        lastId = id ?? lastId;
        count += 1;
      }
      start = end;
    }
    this.rest = bytes.subarray(start);
    return start > 0 ? { bytes: bytes.subarray(0, start), firstId, lastId, count } : undefined;
  }
}
