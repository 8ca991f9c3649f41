/** Whole events of a stream, as the bytes that the endpoint sent. */
export interface EventBatch {
  /** One or more whole events, terminators included. */
  readonly bytes: Buffer;
  /** Id of the last of them that carries one. */
  readonly lastId: string | undefined;
  readonly count: number;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = Buffer.from('id:');

/** Index after the blank line that ends the next event, or -1. */
function endOfEvent(bytes: Buffer, start: number): number {
  for (let at = bytes.indexOf(lineFeed, start); at >= 0; at = bytes.indexOf(lineFeed, at + 1)) {
    if (bytes[at + 1] === lineFeed) {
      return at + 2;
    }
    if (bytes[at + 1] === carriageReturn && bytes[at + 2] === lineFeed) {
      return at + 3;
    }
  }
  return -1;
}

function idOf(event: Buffer): string | undefined {
  let at = event.indexOf(idField);
  while (at > 0 && event[at - 1] !== lineFeed) {
    at = event.indexOf(idField, at + 1);
  }
  if (at < 0) {
    return undefined;
  }
  const end = event.indexOf(lineFeed, at);
  return event.toString('utf8', at + idField.length, end).trim();
}

/**
 * Cuts a byte stream of server-sent events after whole events.
 *
 * A parser library would decode the events; a relay has to pass on their bytes unchanged.
 */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event whose end hasn't arrived. */
  get partial(): Buffer {
    return this.rest;
  }

  /**
   * Takes the next bytes of the stream.
   *
   * @param chunk - Bytes as received.
   * @returns The whole events that are now complete, or undefined.
   */
  push(chunk: Buffer): EventBatch | undefined {
    const bytes = this.rest.length > 0 ? Buffer.concat([this.rest, chunk]) : chunk;
    let start = 0;
    let count = 0;
    let lastId: string | undefined;
    for (let end = endOfEvent(bytes, 0); end >= 0; end = endOfEvent(bytes, end)) {
      lastId = idOf(bytes.subarray(start, end)) ?? lastId;
      count += 1;
      start = end;
    }
    this.rest = bytes.subarray(start);
    return count > 0 ? { bytes: bytes.subarray(0, start), lastId, count } : undefined;
  }
}
