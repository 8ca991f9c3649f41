import type { IClock, ITimers } from '../../../base/common/clock.js';
import { piecesPerBurst, smallPieceBytes, type PiecePacer } from '../common/piecePacer.js';

/** Connection or body that takes turns with others if it arrives in many small pieces. */
export interface IBurstOwner {
  /** Whether nothing more is to be read, so that it needs no further turn. */
  readonly isOver: boolean;
  /** Called after a burst: nothing may be read until `onTurn`. */
  onBurst(): void;
  /** Called when more may be read. */
  onTurn(): void;
}

/** Counts the small pieces of one body, and pauses it after a burst for as long as the pacer says. */
export class PieceBursts {
  private pieceCount = 0;

  private startMs = 0;

  /**
   * @param owner - Is paused after a burst.
   * @param pacer - Limits the time that all such bodies use together.
   * @param clock - Source of time and of timers.
   */
  constructor(
    private readonly owner: IBurstOwner,
    private readonly pacer: PiecePacer,
    private readonly clock: IClock & ITimers,
  ) {}

  /**
   * Counts a piece.
   *
   * @param bytes - Its size.
   * @param parts - Number of parts of the piece that are handled one by one.
   * @returns Whether it or its parts are small.
   */
  count(bytes: number, parts = 1): boolean {
    if (bytes >= smallPieceBytes * parts) {
      return false;
    }
    const previousCount = this.pieceCount;
    this.pieceCount += parts;
    if (previousCount < 2 && this.pieceCount >= 2) {
      this.startMs = this.clock.monotonicMs();
      setImmediate(() => this.end());
    }
    if (previousCount < piecesPerBurst && this.pieceCount >= piecesPerBurst) {
      this.owner.onBurst();
    }
    return true;
  }

  private end(): void {
    const pieces = this.pieceCount;
    this.pieceCount = 0;
    if (pieces < piecesPerBurst) {
      return;
    }
    const nowMs = this.clock.monotonicMs();
    const resumeMs = this.pacer.recordBurst(nowMs, nowMs - this.startMs);
    if (!this.owner.isOver) {
      this.clock.after(resumeMs - nowMs, () => this.owner.onTurn());
    }
  }
}
