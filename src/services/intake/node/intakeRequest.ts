import type { IncomingMessage, ServerResponse } from 'node:http';
import { BodyState, type BodyEntry, type IBodyOwner } from '../common/bodyAccount.js';
import { BodyBuffer } from '../common/bodyBuffer.js';
import { requestHeapCost } from '../common/headAccount.js';
import { IntakeCut } from '../common/intakeCut.js';
import { HoldReason, type CallerConnection } from './callerConnection.js';
import type { IntakeContext } from './intakeContext.js';
import { PieceBursts, type IBurstOwner } from './pieceBursts.js';

/** How reading a body ended. */
export enum BodyOutcome {
  /** The body is complete. */
  Whole = 'whole',
  /** The body exceeds its largest legal size. */
  TooLarge = 'too-large',
  /** The account gave the body up; the request hasn't run. */
  GivenUp = 'given-up',
  /** The caller disconnected. */
  Disconnected = 'disconnected',
}

/** Result of reading a body. */
export type BodyResult =
  | { readonly outcome: BodyOutcome.Whole; readonly body: Buffer }
  | { readonly outcome: BodyOutcome.GivenUp; readonly reason: IntakeCut }
  | { readonly outcome: BodyOutcome.TooLarge | BodyOutcome.Disconnected };

/** Bounds on the body of one request. */
export interface BodyBounds {
  /** Largest legal size, in bytes. */
  readonly maxBytes: number;
  /** Monotonic time by which the body must be complete, in milliseconds. */
  readonly deadlineMs: number;
  /** Time for which the body may wait for room, in milliseconds. */
  readonly maxWaitMs: number;
}

/** Rest of a refused body up to which it is read so that its connection can be kept, in bytes. */
const shortRestBytes = 65_536;

/** Bytes of a refused body that are read and discarded, so that its caller may notice the answer. */
const maxDiscardedBytes = 131_072;

/** Time for which a connection with a refused body is kept, so that its caller can read the answer, in milliseconds. */
const discardMs = 1_000;

/** Bytes of a body that count as progress when connections give way. */
const progressBytes = 4_096;

const emptyBody = Buffer.alloc(0);

/** Request of a caller whose answer hasn't ended. */
export class IntakeRequest implements IBodyOwner, IBurstOwner {
  /** Time at which the connection is closed if a refused body hasn't ended, in monotonic milliseconds. */
  discardUntilMs: number | undefined;

  /** Serves the request. */
  onStart: () => void = () => undefined;

  /** Heap that the request is charged for, in bytes. */
  readonly heapBytes: number;

  /** Monotonic time at which the head was read, in milliseconds. */
  readonly arrivedMs: number;

  /** Size of the head, in bytes. */
  readonly headBytes: number;

  private entry: BodyEntry | undefined;

  private buffer: BodyBuffer | undefined;

  private settle: ((result: BodyResult) => void) | undefined;

  private receivedBytes = 0;

  private discardedBytes = 0;

  /** Bytes at which progress was recorded last. */
  private recordedBytes = 0;

  private maxBytes = Infinity;

  private isListening = false;

  private readonly bursts: PieceBursts;

  /**
   * @param req - The request.
   * @param res - Its answer.
   * @param connection - Connection on which it arrived.
   * @param mustRefuse - Whether the process has no memory to serve it.
   * @param expectsContinue - Whether the caller waits for leave to send the body.
   * @param context - Shared objects.
   */
  constructor(
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
    readonly connection: CallerConnection,
    readonly mustRefuse: boolean,
    private readonly expectsContinue: boolean,
    private readonly context: IntakeContext,
  ) {
    const { rawHeaders } = req;
    this.bursts = new PieceBursts(this, context.pacer, context.clock);
    this.arrivedMs = context.clock.monotonicMs();
    this.headBytes = rawHeaders.reduce((total, each) => total + each.length + 2, 0);
    this.heapBytes = requestHeapCost(this.headBytes, rawHeaders.length / 2);
  }

  /** Whether bytes of the body are missing. */
  get isIncomplete(): boolean {
    return !this.req.complete && this.hasBody;
  }

  /** Whether the head announces a body. */
  get hasBody(): boolean {
    return this.declaredBytes() !== 0;
  }

  /**
   * Reads the body; may be called once.
   *
   * @param bounds - Bounds on the body.
   * @returns How reading it ended.
   */
  async readBody(bounds: BodyBounds): Promise<BodyResult> {
    const declaredBytes = this.declaredBytes();
    if (declaredBytes === 0) {
      return { outcome: BodyOutcome.Whole, body: emptyBody };
    }
    if (declaredBytes !== undefined && declaredBytes > bounds.maxBytes) {
      return { outcome: BodyOutcome.TooLarge };
    }
    const { account, clock, pool } = this.context;
    const nowMs = clock.monotonicMs();
    this.maxBytes = bounds.maxBytes;
    this.buffer = new BodyBuffer(pool);
    this.entry = account.open({ declaredBytes, ...bounds }, this, nowMs);
    if (this.entry === undefined) {
      const reason = IntakeCut.BodyNoRoom;
      this.context.recordCut(reason, this.connection, { declaredBytes });
      return { outcome: BodyOutcome.GivenUp, reason };
    }
    if (this.entry.state === BodyState.Waiting) {
      this.connection.hold(HoldReason.Body);
    }
    this.sendContinue();
    return new Promise((resolve) => {
      this.settle = resolve;
      this.listen();
    });
  }

  /**
   * Prepares the connection for an answer before the request was read completely: the rest of a short body is
   * read and discarded, and the connection is closed after a longer one. To be called before the answer
   * begins.
   */
  prepareRefusal(): void {
    this.stopReading();
    if (!this.isIncomplete) {
      return;
    }
    const declaredBytes = this.declaredBytes();
    const restBytes = declaredBytes === undefined ? Infinity : declaredBytes - this.receivedBytes;
    if (restBytes > shortRestBytes || this.expectsContinue) {
      this.connection.isEnding = true;
      this.lingerAfterAnswer();
    }
    this.discardUntilMs = this.context.clock.monotonicMs() + discardMs;
    this.connection.isDiscarding = true;
    this.context.discarding.add(this);
    if (this.context.discarding.size > this.context.maxHeld) {
      const [oldest] = this.context.discarding;
      oldest.endDiscarding();
      this.context.cut(oldest.connection, IntakeCut.HeldBound);
    }
    this.listen();
  }

  /** Releases what the request uses, when its answer has ended or its connection was closed. */
  end(): void {
    const { account, clock } = this.context;
    this.buffer?.clear();
    if (this.entry) {
      account.close(this.entry, clock.monotonicMs());
    }
    if (this.req.complete || this.connection.socket.destroyed) {
      this.endDiscarding();
    }
    this.resolve({ outcome: BodyOutcome.Disconnected });
  }

  onResume(): void {
    this.connection.release(HoldReason.Body);
  }

  onRefuse(reason: IntakeCut): void {
    this.context.recordCut(reason, this.connection, { receivedBytes: this.receivedBytes });
    this.stopReading();
    this.resolve({ outcome: BodyOutcome.GivenUp, reason });
  }

  get isOver(): boolean {
    return this.req.complete;
  }

  onBurst(): void {
    if (this.context.holdCounts.of(HoldReason.Paced) < this.context.maxHeld) {
      this.setPaced(true);
    } else {
      this.context.cut(this.connection, IntakeCut.HeldBound);
    }
  }

  onTurn(): void {
    this.setPaced(false);
  }

  private declaredBytes(): number | undefined {
    const { headers } = this.req;
    if (headers['transfer-encoding'] !== undefined) {
      return undefined;
    }
    return Number(headers['content-length'] ?? 0);
  }

  private listen(): void {
    if (this.isListening) {
      return;
    }
    this.isListening = true;
    this.req.on('data', (piece: Buffer) => this.receive(piece));
    this.req.once('end', () => this.complete());
    this.req.once('error', () => this.resolve({ outcome: BodyOutcome.Disconnected }));
    this.req.once('close', () => this.resolve({ outcome: BodyOutcome.Disconnected }));
  }

  private receive(piece: Buffer): void {
    this.receivedBytes += piece.length;
    if (this.receivedBytes - this.recordedBytes >= progressBytes) {
      this.recordedBytes = this.receivedBytes;
      this.context.recordProgress(this.connection);
    }
    if (this.bursts.count(piece.length)) {
      this.connection.countPiece();
    }
    if (this.settle === undefined || this.entry === undefined || this.buffer === undefined) {
      this.discard(piece.length);
      return;
    }
    if (this.receivedBytes > this.maxBytes) {
      this.stopReading();
      this.resolve({ outcome: BodyOutcome.TooLarge });
      return;
    }
    this.buffer.append(piece);
    if (!this.context.account.receive(this.entry, piece.length, this.context.clock.monotonicMs())) {
      this.connection.hold(HoldReason.Body);
    }
  }

  private complete(): void {
    this.endDiscarding();
    this.connection.release(HoldReason.Paced);
    this.context.recordProgress(this.connection);
    if (this.settle === undefined || this.entry === undefined || this.buffer === undefined) {
      return;
    }
    this.connection.release(HoldReason.Body);
    this.context.account.complete(this.entry, this.context.clock.monotonicMs());
    this.resolve({ outcome: BodyOutcome.Whole, body: this.buffer.take() });
  }

  /** Gives up what was read of an incomplete body. */
  private stopReading(): void {
    this.buffer?.clear();
    if (this.entry) {
      this.context.account.close(this.entry, this.context.clock.monotonicMs());
    }
    this.connection.release(HoldReason.Body);
  }

  private discard(bytes: number): void {
    this.discardedBytes += bytes;
    if (this.discardedBytes > maxDiscardedBytes) {
      this.connection.hold(HoldReason.Refused);
    }
  }

  private endDiscarding(): void {
    if (this.context.discarding.delete(this)) {
      this.connection.isDiscarding = false;
      this.connection.bytesAtIdle = this.connection.socket.bytesRead;
    }
  }

  private resolve(result: BodyResult): void {
    const { settle } = this;
    this.settle = undefined;
    settle?.(result);
  }

  private sendContinue(): void {
    if (this.expectsContinue && !this.res.headersSent && !this.res.destroyed) {
      this.res.writeContinue();
    }
  }

  /**
   * Keeps the connection open for reading after the last answer: the system resets a connection that is
   * closed while bytes of the caller are unread, and the caller may then lose the answer.
   */
  private lingerAfterAnswer(): void {
    const { socket } = this.connection;
    socket.destroySoon = () => {
      socket.end();
    };
  }

  private setPaced(isPaced: boolean): void {
    if (this.entry) {
      this.entry.isPaced = isPaced;
    }
    if (isPaced) {
      this.connection.hold(HoldReason.Paced);
    } else {
      this.connection.release(HoldReason.Paced);
    }
  }
}
