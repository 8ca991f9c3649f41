import type { Socket } from 'node:net';
import { PieceBursts, type IBurstOwner } from '../../intake/node/pieceBursts.js';
import { ParserMode, ReadGate } from '../../intake/node/readGate.js';
import { AnswerCut } from '../common/answerCut.js';
import type { AnswerIntake, IHeapUser } from './answerIntake.js';

/** Why a connection isn't read. */
export enum HoldReason {
  /** The receiver of the answer has to pass on what it has first. */
  Receiver = 'receiver',
  /** The body waits for room. */
  Room = 'room',
  /** The answer comes in many small pieces, and others have their turn. */
  Paced = 'paced',
}

/** Bytes of framing that one byte of a body makes up for; a chunk of one byte has five. */
const framingBytesPerByte = 16;

/**
 * Bytes of heap that one byte of an incomplete head or of framing may use: the client keeps two buffers for a
 * field of four bytes.
 */
const heapFactor = 65;

/** Bytes of an incomplete head or of framing that aren't charged. */
const usualFramingBytes = 1_024;

/** Error with which a connection is closed because its answer was given up. */
export class AnswerGivenUpError extends Error {
  /** @param cut - Why it was given up. */
  constructor(readonly cut: AnswerCut) {
    super(`answer was given up: ${cut}`);
  }
}

/** Connection on which answers arrive; decides when it is read, and closes it if what comes is no answer. */
export class AnswerConnection implements IHeapUser, IBurstOwner {
  private readonly gate: ReadGate;

  private readonly holds = new Set<HoldReason>();

  private readonly bursts: PieceBursts;

  /** Bytes that are no part of a body, less those that the body makes up for. */
  private framingBytes = 0;

  /** Whether the head of the answer was in what the parser got last. */
  private hasParsedHead = false;

  /**
   * @param socket - Connection that nothing was read from.
   * @param intake - Bounds of all answers.
   */
  constructor(
    private readonly socket: Socket,
    private readonly intake: AnswerIntake,
  ) {
    this.bursts = new PieceBursts(this, intake.pacer, intake.clock);
    this.gate = new ReadGate(socket, ParserMode.Readable, (bytes) => this.handleParsed(bytes));
    socket.once('close', () => intake.chargeHeap(this, 0));
  }

  get isOver(): boolean {
    return this.socket.destroyed;
  }

  /** Stops reading. */
  hold(reason: HoldReason): void {
    this.holds.add(reason);
    this.gate.close();
  }

  /** Withdraws one reason, and reads on if there is no other. */
  release(reason: HoldReason): void {
    if (this.holds.delete(reason) && this.holds.size === 0) {
      this.gate.open();
    }
  }

  /** Called when a request is sent: nothing is known of what comes. */
  beginAnswer(): void {
    this.gate.resetSlices();
    this.framingBytes = 0;
  }

  /** Called with the head of the answer. */
  recordHead(): void {
    this.framingBytes = 0;
    this.hasParsedHead = true;
  }

  /**
   * Called with each piece of the body.
   *
   * @param bytes - Its size.
   */
  recordPiece(bytes: number): void {
    this.framingBytes -= framingBytesPerByte * bytes;
    if (this.bursts.count(bytes)) {
      this.gate.countPiece();
    }
  }

  /**
   * Called with the events of a piece.
   *
   * @param count - Their number.
   * @param bytes - Their size.
   */
  recordEvents(count: number, bytes: number): void {
    if (count > 1 && this.bursts.count(bytes, count)) {
      for (let event = 0; event < count; event += 1) {
        this.gate.countPiece();
      }
    }
  }

  onBurst(): void {
    this.hold(HoldReason.Paced);
  }

  onTurn(): void {
    this.release(HoldReason.Paced);
  }

  giveUp(cut: AnswerCut): void {
    this.socket.destroy(new AnswerGivenUpError(cut));
  }

  private handleParsed(bytes: number): void {
    this.framingBytes = Math.max(0, this.framingBytes + (this.hasParsedHead ? 0 : bytes));
    this.hasParsedHead = false;
    if (this.socket.destroyed) {
      return;
    }
    if (this.framingBytes > this.intake.bounds.maxFramingBytes) {
      this.giveUp(AnswerCut.Framing);
      return;
    }
    const isUsual = this.framingBytes <= usualFramingBytes;
    if (!isUsual) {
      // A large slice would go far beyond the bound before the next check.
      this.gate.resetSlices();
    }
    this.intake.chargeHeap(this, isUsual ? 0 : heapFactor * this.framingBytes);
  }
}
