import type { CallerRequest, ICallerSink } from '../common/callerRequest.js';
import type { IDialect } from '../common/dialect.js';
import { EventSplitter, type EventBatch } from '../common/eventSplitter.js';
import { StreamProgress } from '../common/streamProgress.js';
import type { HeaderMap } from '../../../services/exchange/common/headerMap.js';
import type { IPartialBody } from '../../../services/exchange/common/partialBody.js';
import type { AnswerHead } from '../../../services/exchange/node/endpointSender.js';

/** Answer to the caller of a stream: the events of its runs, one run after the other. */
export class StreamAnswer {
  /** What has arrived of the stream. */
  readonly progress: StreamProgress;

  /** Splits the current run's answer; undefined until it has begun. */
  private splitter: EventSplitter | undefined;

  private wasBegun = false;

  /**
   * Head that the caller got or, until then, that of the current run's answer. It is passed on with the first
   * event; a failure before it gets a status.
   */
  private head: AnswerHead | undefined;

  private lastId: string | undefined;

  /** Whether the current run must go on where an earlier one ended, and has sent no event yet. */
  private isAtSeam = false;

  /** Comments of the current run before its first event. */
  private heldComments: IPartialBody | undefined;

  /** Bytes of comments of the current run since its last event. */
  private commentBytes = 0;

  /**
   * @param req - Request of the caller.
   * @param caller - Receives the answer.
   * @param dialect - Translates the headers of endpoints.
   */
  constructor(
    req: CallerRequest,
    private readonly caller: ICallerSink,
    private readonly dialect: IDialect,
  ) {
    this.progress = new StreamProgress(req.arrivedMs);
    this.lastId = req.metadata.lastEventId;
  }

  /** Whether the caller has got a status and events. */
  get hasBegun(): boolean {
    return this.wasBegun;
  }

  /** Id of the last event that the caller has; undefined if it has none. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** Bytes that have arrived of an event whose end has not. */
  get partialBytes(): number {
    return this.splitter?.partialBytes ?? 0;
  }

  /** Bytes that have arrived of the current run since its last complete event. */
  get bytesSinceEvent(): number {
    return this.commentBytes + this.partialBytes;
  }

  /** Called when a run starts. */
  beginRun(): void {
    this.progress.beginRun();
    this.isAtSeam = this.wasBegun;
    this.splitter = undefined;
    this.heldComments = undefined;
    this.commentBytes = 0;
  }

  /**
   * Returns whether the body of an answer may be passed on after what the caller has got: its head must be of
   * the same kind as the one that the caller got.
   *
   * @param next - Status and headers of the current run's answer.
   */
  mayContinueWith(next: AnswerHead): boolean {
    if (!this.wasBegun || this.head === undefined) {
      return true;
    }
    const types = [this.head, next].map(({ headers }) => mediaTypeOf(headers));
    const isSameType = types.includes(undefined) || types[0] === types[1];
    return next.status === this.head.status && isSameType;
  }

  /**
   * Returns whether events follow those that the caller has got, as far as their ids tell.
   *
   * @param batch - Complete events of the current run.
   */
  isContinuedBy({ count, firstId }: EventBatch): boolean {
    const lastNumber = Number(this.lastId);
    if (!this.isAtSeam || count === 0 || this.lastId === undefined || Number.isNaN(lastNumber)) {
      return true;
    }
    return firstId !== undefined && Number(firstId) > lastNumber;
  }

  /**
   * Keeps the head of the current run's answer until its first event.
   *
   * @param head - Status and headers.
   * @param createBody - Returns a place for bytes of the answer that can't be passed on yet.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  keepHead(head: AnswerHead, createBody: () => IPartialBody, nowMs: number): void {
    this.splitter = new EventSplitter(createBody());
    this.heldComments = createBody();
    this.head = this.wasBegun ? this.head : head;
    this.progress.recordSign(nowMs);
  }

  /**
   * Adds the next bytes of the current run.
   *
   * @param chunk - Bytes as received.
   * @returns The events and comments that these bytes complete, or undefined if there are none.
   */
  push(chunk: Buffer): EventBatch | undefined {
    return this.splitter?.push(chunk);
  }

  /**
   * Passes events on, after the head if they are the first ones.
   *
   * @param batch - Complete events.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns False if the caller reads too slowly, so that the run has to be paused.
   */
  write(batch: EventBatch, nowMs: number): boolean {
    this.progress.recordEvents(batch.count, nowMs);
    this.commentBytes = 0;
    this.lastId = batch.lastId ?? this.lastId;
    this.isAtSeam = false;
    this.begin();
    return this.caller.write(batch.bytes);
  }

  /**
   * Passes comments on, or keeps them until the first event. They show nothing of the run's progress.
   *
   * @param bytes - Complete comments.
   * @returns False if the caller reads too slowly, so that the run has to be paused.
   */
  writeComments(bytes: Buffer): boolean {
    this.commentBytes += bytes.length;
    if (this.wasBegun) {
      return this.caller.write(bytes);
    }
    this.heldComments?.append(bytes);
    return true;
  }

  /** Ends the answer as complete. */
  end(): void {
    this.begin();
    this.caller.end();
  }

  private begin(): void {
    if (!this.wasBegun && this.head) {
      this.wasBegun = true;
      const { status, rawHeaders } = this.head;
      this.caller.begin(status, this.dialect.callerHeaders(rawHeaders));
      if (this.heldComments !== undefined && this.heldComments.length > 0) {
        this.caller.write(this.heldComments.take());
      }
    }
  }
}

/** Returns the media type of an answer without its parameters, in lower case. */
function mediaTypeOf(headers: HeaderMap): string | undefined {
  const type = headers['content-type'];
  return typeof type === 'string' ? type.split(';')[0].trim().toLowerCase() : undefined;
}
