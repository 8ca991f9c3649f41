import type { IPartialBody } from '../../../services/exchange/common/partialBody.js';

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

/** Bytes at the end of what is kept that may begin the end of an event. */
const maxTailBytes = 2;

const noBytes: Buffer = Buffer.alloc(0);

/**
 * Splits a byte stream of server-sent events into batches of complete events.
 *
 * A parser library is not used because it would decode the events, whereas a relay must forward their
 * bytes unchanged. An event that arrives in many pieces is scanned once: the work grows with its size, not
 * with its size times the number of pieces.
 */
export class EventSplitter {
  /** Last bytes of what is kept. */
  private tail = noBytes;

  /** @param rest - Keeps the last event, whose end hasn't arrived. */
  constructor(private readonly rest: IPartialBody) {}

  /** Bytes of the last event, whose end hasn't arrived. */
  get partialBytes(): number {
    return this.rest.length;
  }

  /**
   * Adds the next bytes of the stream.
   *
   * @param chunk - Bytes as received.
   * @returns The events and comments that these bytes complete, or undefined if there are none.
   */
  push(chunk: Buffer): EventBatch | undefined {
    const scanned = this.tail.length > 0 ? Buffer.concat([this.tail, chunk]) : chunk;
    if (endOfEvent(scanned, 0) < 0) {
      this.rest.append(chunk);
      this.tail = Buffer.from(scanned.subarray(-maxTailBytes));
      return undefined;
    }
    const bytes = this.rest.length > 0 ? Buffer.concat([this.rest.take(), chunk]) : chunk;
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
    if (start < bytes.length) {
      this.rest.append(bytes.subarray(start));
    }
    this.tail = Buffer.from(bytes.subarray(Math.max(start, bytes.length - maxTailBytes)));
    return { bytes: bytes.subarray(0, start), firstId, lastId, count };
  }
}
