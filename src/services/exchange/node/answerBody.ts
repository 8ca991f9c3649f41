import { BodyState, type BodyEntry, type IBodyOwner } from '../../intake/common/bodyAccount.js';
import { BodyBuffer } from '../../intake/common/bodyBuffer.js';
import type { IntakeCut } from '../../intake/common/intakeCut.js';
import { AnswerCut, answerCutOf } from '../common/answerCut.js';
import type { IHeldBody, IPartialBody } from '../common/partialBody.js';
import { HoldReason, type AnswerConnection } from './answerConnection.js';
import type { AnswerIntake } from './answerIntake.js';

/** What is kept of an answer, charged to the account of all answers. */
export class AnswerBody implements IBodyOwner, IPartialBody {
  private readonly buffer: BodyBuffer;

  /** Entry in the account; undefined while nothing is kept. */
  private entry: BodyEntry | undefined;

  private isClosed = false;

  /**
   * @param intake - Bounds of all answers.
   * @param connection - Connection on which the answer arrives.
   * @param declaredBytes - Length that the head names, in bytes; undefined if it names none.
   * @param maxBytes - Largest size, in bytes.
   * @param origin - Who sends the answer.
   * @param neededByMs - Monotonic time after which it is of no use, in milliseconds; none if undefined.
   * @param onGivenUp - Called when the answer has to be given up; nothing is kept any more.
   */
  constructor(
    private readonly intake: AnswerIntake,
    private readonly connection: AnswerConnection,
    private readonly declaredBytes: number | undefined,
    private readonly maxBytes: number,
    private readonly origin: string,
    private readonly neededByMs: number | undefined,
    private readonly onGivenUp: (cut: AnswerCut) => void,
  ) {
    this.buffer = new BodyBuffer(intake.pool);
  }

  get length(): number {
    return this.buffer.length;
  }

  append(piece: Buffer): void {
    if (this.isClosed || piece.length === 0) {
      return;
    }
    if (Math.max(this.length + piece.length, this.declaredBytes ?? 0) > this.maxBytes) {
      this.giveUp(AnswerCut.TooLarge);
      return;
    }
    const { account, clock } = this.intake;
    const nowMs = clock.monotonicMs();
    this.entry ??= this.open(nowMs);
    if (this.entry === undefined) {
      this.giveUp(AnswerCut.NoRoom);
      return;
    }
    if (this.isClosed) {
      // Answers that gave way to this one may have ended its request.
      this.clear();
      return;
    }
    this.buffer.append(ownBytes(piece));
    if (!account.receive(this.entry, piece.length, nowMs)) {
      this.connection.hold(HoldReason.Room);
    }
  }

  /** Returns what was kept and keeps nothing any more; more may be added then. */
  take(): Buffer {
    const whole = this.buffer.take();
    this.clear();
    return whole;
  }

  /** Returns the whole body, which stays charged until it is closed. */
  handOver(): IHeldBody {
    const { account, clock } = this.intake;
    const { entry } = this;
    const bytes = this.buffer.take();
    this.entry = undefined;
    if (entry !== undefined) {
      account.complete(entry, clock.monotonicMs());
    }
    this.close();
    return {
      bytes,
      close: () => entry && account.close(entry, clock.monotonicMs()),
    };
  }

  /** Discards what was kept; nothing is added any more. */
  close(): void {
    this.isClosed = true;
    this.clear();
  }

  onResume(): void {
    this.connection.release(HoldReason.Room);
  }

  onRefuse(cut: IntakeCut): void {
    this.giveUp(answerCutOf(cut));
  }

  private open(nowMs: number): BodyEntry | undefined {
    const { declaredBytes, maxBytes } = this;
    const announcement = {
      declaredBytes,
      maxBytes,
      // The request has a deadline of its own; until then its answer may wait.
      deadlineMs: Infinity,
      maxWaitMs: Infinity,
      neededByMs: this.neededByMs,
      origin: this.origin,
    };
    const entry = this.intake.account.open(announcement, this, nowMs);
    if (entry?.state === BodyState.Waiting) {
      this.connection.hold(HoldReason.Room);
    }
    this.intake.watchProgress();
    return entry;
  }

  private giveUp(cut: AnswerCut): void {
    if (!this.isClosed) {
      this.close();
      this.onGivenUp(cut);
    }
  }

  private clear(): void {
    const { entry } = this;
    this.entry = undefined;
    this.buffer.clear();
    if (entry !== undefined) {
      this.intake.account.close(entry, this.intake.clock.monotonicMs());
    }
    this.connection.release(HoldReason.Room);
  }
}

/** Returns the bytes in a buffer of about their size; a small part of a read keeps all of it in memory. */
function ownBytes(piece: Buffer): Buffer {
  return piece.buffer.byteLength > 2 * piece.length ? Buffer.from(piece) : piece;
}
