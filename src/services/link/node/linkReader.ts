import type { Socket } from 'node:net';
import { Unpackr } from 'msgpackr';
import type { RawData, WebSocket } from 'ws';
import type { CancelTimer, IClock, ITimers } from '../../../base/common/clock.js';
import { answerCutOf, AnswerCut } from '../../exchange/common/answerCut.js';
import type { AnswerIntake } from '../../exchange/node/answerIntake.js';
import { BodyState, type BodyEntry, type IBodyOwner } from '../../intake/common/bodyAccount.js';
import type { IntakeCut } from '../../intake/common/intakeCut.js';
import { PieceBursts, type IBurstOwner } from '../../intake/node/pieceBursts.js';
import { FrameHeadReader } from '../common/frameHeadReader.js';
import { frameBounds, FrameScanner } from '../common/frameScanner.js';
import { maxBatchMessages, maxHelloBytes, readOverheadBytes } from '../common/linkBounds.js';
import type { LinkMessage } from '../common/messages.js';
import { isLinkMessage } from '../common/messageSchemas.js';

/** Longest time for which a link isn't read because others use the memory, in milliseconds. */
const maxWaitMs = 5_000;

/** Interval at which a link asks for room again while too many others wait, in milliseconds. */
const retryMs = 50;

/** Prefix of the codes of errors in the web socket protocol. */
const protocolErrorPrefix = 'WS_ERR_';

const cutsByErrorCode: Readonly<Record<string, AnswerCut>> = {
  WS_ERR_UNSUPPORTED_MESSAGE_LENGTH: AnswerCut.TooLarge,
  WS_ERR_UNSUPPORTED_DATA_PAYLOAD_LENGTH: AnswerCut.TooLarge,
  WS_ERR_TOO_MANY_BUFFERED_PARTS: AnswerCut.Framing,
};

/** Receives what a link's peer sends. */
export interface ILinkReceiver {
  /** Called with the messages of a frame. */
  onMessages(messages: readonly LinkMessage[]): void;
  /** Called if the link must end because of what its peer sends; nothing more is received. */
  onFault(reason: AnswerCut): void;
}

enum HoldReason {
  /** The frame waits for memory. */
  Room = 'room',
  /** Many messages came at once, and other links have their turn. */
  Paced = 'paced',
}

/**
 * Reads the messages of a link. What has arrived of incomplete frames is charged to the account of all
 * answers, and nothing is decoded that takes far more memory than its bytes.
 */
export class LinkReader implements IBodyOwner, IBurstOwner {
  private readonly scanner = new FrameScanner(frameBounds);

  private readonly decoder = new Unpackr({ sequential: true, structures: [] });

  private readonly holds = new Set<HoldReason>();

  private readonly bursts: PieceBursts | undefined;

  private readonly heads = new FrameHeadReader();

  /** Entry of the incomplete frame in the account; undefined while there is none. */
  private entry: BodyEntry | undefined;

  /** Bytes of the incomplete frame that aren't charged because it waits for room. */
  private unchargedBytes = 0;

  /** Monotonic time since which too many others wait for room, in milliseconds. */
  private waitingSinceMs: number | undefined;

  private cancelRetry: CancelTimer | undefined;

  private isClosed = false;

  /**
   * @param socket - Open web socket, of which nothing was received.
   * @param connection - Connection of the web socket.
   * @param maxFrameBytes - Size of the largest frame, in bytes.
   * @param receiver - Receives the messages.
   * @param answers - Bounds what all links make the process hold together; not bounded if undefined.
   */
  constructor(
    private readonly socket: WebSocket,
    private readonly connection: Socket,
    private readonly maxFrameBytes: number,
    private readonly receiver: ILinkReceiver,
    private readonly answers: AnswerIntake | undefined,
  ) {
    this.bursts = answers && new PieceBursts(this, answers.pacer, answers.clock);
    connection.on('data', (bytes: Buffer) => this.handleRead(bytes));
    socket.on('message', (data, isBinary) => this.handleFrame(data, isBinary));
    socket.on('ping', () => this.fail(AnswerCut.Framing));
    socket.on('pong', () => this.fail(AnswerCut.Framing));
    socket.on('error', (err: NodeJS.ErrnoException) => {
      if (err.code?.startsWith(protocolErrorPrefix)) {
        this.fail(cutsByErrorCode[err.code] ?? AnswerCut.Malformed);
      }
    });
  }

  /** Whether nothing is read at present for the sake of others. */
  get isHeld(): boolean {
    return this.holds.size > 0;
  }

  get isOver(): boolean {
    return this.isClosed;
  }

  /** Stops receiving and keeps nothing any more. */
  close(): void {
    this.isClosed = true;
    this.discharge();
  }

  onResume(): void {
    this.release(HoldReason.Room);
    this.charge(0);
  }

  onRefuse(cut: IntakeCut): void {
    this.entry = undefined;
    this.fail(answerCutOf(cut));
  }

  onBurst(): void {
    this.hold(HoldReason.Paced);
  }

  onTurn(): void {
    this.release(HoldReason.Paced);
  }

  private handleRead(bytes: Buffer): void {
    if (this.isClosed) {
      return;
    }
    if (this.heads.read(bytes)) {
      this.discharge();
    }
    const { receivedBytes, frameBytes, frameCount } = this.heads;
    if (frameCount === 0 && frameBytes > maxHelloBytes) {
      this.fail(AnswerCut.TooLarge);
    } else if (receivedBytes > 0) {
      this.charge(Math.min(receivedBytes, bytes.length) + readOverheadBytes);
    }
  }

  private handleFrame(data: RawData, isBinary: boolean): void {
    if (this.isClosed) {
      return;
    }
    const bytes = data as Buffer;
    const messages = isBinary ? this.decode(bytes) : undefined;
    if (messages === undefined) {
      this.fail(AnswerCut.Malformed);
      return;
    }
    messages.forEach(() => this.bursts?.count(0));
    this.receiver.onMessages(messages);
  }

  private decode(bytes: Buffer): readonly LinkMessage[] | undefined {
    if (!this.scanner.check(bytes)) {
      return undefined;
    }
    let batch: unknown;
    try {
      batch = this.decoder.unpack(bytes);
    } catch {
      return undefined;
    }
    if (!Array.isArray(batch) || batch.length === 0 || batch.length > maxBatchMessages) {
      return undefined;
    }
    const elements: readonly unknown[] = batch;
    return elements.every(isLinkMessage) ? elements : undefined;
  }

  /** Charges bytes of the incomplete frame as soon as there is room for all of it, and reads no more until then. */
  private charge(bytes: number): void {
    this.unchargedBytes += bytes;
    if (this.answers === undefined) {
      return;
    }
    const { account, clock } = this.answers;
    const nowMs = clock.monotonicMs();
    this.entry ??= this.open(this.answers, nowMs);
    if (this.entry === undefined) {
      this.awaitTurn(clock, nowMs);
    } else if (this.entry.state === BodyState.Waiting) {
      this.hold(HoldReason.Room);
    } else {
      this.release(HoldReason.Room);
      const charged = this.unchargedBytes;
      this.unchargedBytes = 0;
      if (!account.receive(this.entry, charged, nowMs)) {
        this.hold(HoldReason.Room);
      }
    }
  }

  private open(answers: AnswerIntake, nowMs: number): BodyEntry | undefined {
    const announcement = {
      declaredBytes: this.heads.frameBytes,
      maxBytes: this.maxFrameBytes,
      deadlineMs: Infinity,
      maxWaitMs,
    };
    answers.watchProgress();
    return answers.account.open(announcement, this, nowMs);
  }

  /** Tries again later: too many others wait for room. A link isn't closed for that, unlike an answer. */
  private awaitTurn(clock: IClock & ITimers, nowMs: number): void {
    this.waitingSinceMs ??= nowMs;
    if (nowMs - this.waitingSinceMs >= maxWaitMs) {
      this.fail(AnswerCut.NoRoom);
      return;
    }
    this.hold(HoldReason.Room);
    this.cancelRetry?.();
    this.cancelRetry = clock.after(retryMs, () => this.charge(0));
  }

  private discharge(): void {
    const { entry } = this;
    this.cancelRetry?.();
    this.cancelRetry = undefined;
    this.waitingSinceMs = undefined;
    this.unchargedBytes = 0;
    this.entry = undefined;
    if (entry !== undefined) {
      this.answers?.account.close(entry, this.answers.clock.monotonicMs());
    }
    this.release(HoldReason.Room);
  }

  private hold(reason: HoldReason): void {
    this.holds.add(reason);
    this.socket.pause();
  }

  private release(reason: HoldReason): void {
    if (this.holds.delete(reason) && this.holds.size === 0) {
      this.socket.resume();
    }
  }

  private fail(reason: AnswerCut): void {
    if (this.isClosed) {
      return;
    }
    const { receivedBytes } = this.heads;
    const { remoteAddress, remotePort } = this.connection;
    this.close();
    this.answers?.recordCut(reason, `link ${remoteAddress}:${remotePort}`, receivedBytes);
    this.receiver.onFault(reason);
  }
}
