import { getHeapStatistics } from 'node:v8';
import type { CancelTimer, IClock, ITimers } from '../../../base/common/clock.js';
import { stackOf, toErrorMessage } from '../../../base/common/errors.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import { RepeatLimitedLogger } from '../../../base/common/repeatLimitedLogger.js';
import { BodyAccount } from '../../intake/common/bodyAccount.js';
import { BlockPool } from '../../intake/common/bodyBuffer.js';
import { HeadAccount } from '../../intake/common/headAccount.js';
import { PiecePacer } from '../../intake/common/piecePacer.js';
import {
  deriveAnswerBounds,
  deriveSeparateBounds,
  type AnswerBounds,
  type AnswerSettings,
} from '../common/answerBounds.js';
import { AnswerCut } from '../common/answerCut.js';

/** Interval of the sweep that looks for answers without progress, in milliseconds. */
const sweepIntervalMs = 250;

/** Interval between log lines about one reason for cuts, in milliseconds. */
const cutLogIntervalMs = 1_000;

/** What answers make the process hold at present. */
export interface AnswerUse {
  readonly incompleteBodies: number;
  readonly waitingBodies: number;
  readonly smallBodyBytes: number;
  readonly largeBodyBytes: number;
  readonly freeBlockBytes: number;
  readonly heapBytes: number;
}

/** Connection whose head or framing uses the heap. */
export interface IHeapUser {
  /** Closes the connection. */
  giveUp(cut: AnswerCut): void;
}

/**
 * Bounds what the answers of others make a process hold: bodies, heads and framing, of one answer and of all
 * together. Everything that reads answers is given one, so that each process has one account of each kind.
 */
export class AnswerIntake {
  readonly account: BodyAccount;

  readonly pool: BlockPool;

  readonly pacer: PiecePacer;

  private readonly heads: HeadAccount;

  /** Heap that each connection is charged for, in bytes, the longest charged one first. */
  private readonly heapUsers = new Map<IHeapUser, number>();

  private readonly cutLogger: ILogger;

  private cancelSweep: CancelTimer | undefined;

  private isClosed = false;

  /**
   * @param bounds - Bounds of the process.
   * @param countCut - Counts an answer that was given up.
   * @param clock - Source of time and of timers.
   * @param logger - Receives a line for each answer that was given up, limited in number.
   */
  constructor(
    readonly bounds: AnswerBounds,
    private readonly countCut: (cut: AnswerCut) => void,
    readonly clock: IClock & ITimers,
    private readonly logger: ILogger,
  ) {
    this.account = new BodyAccount(bounds);
    this.pool = new BlockPool(bounds.memoryBytes);
    this.pacer = new PiecePacer(bounds.pieceShare);
    this.heads = new HeadAccount(bounds.heapBytes);
    const limit = {
      event: 'answer-given-up',
      subjectField: 'reason',
      intervalMs: cutLogIntervalMs,
    };
    this.cutLogger = new RepeatLimitedLogger(logger, limit, clock);
  }

  /** What answers make the process hold at present. */
  get use(): AnswerUse {
    return {
      incompleteBodies: this.account.incompleteCount,
      waitingBodies: this.account.waitingCount,
      smallBodyBytes: this.account.smallBytes,
      largeBodyBytes: this.account.largeBytes,
      freeBlockBytes: this.pool.freeBytes,
      heapBytes: this.heads.usedBytes,
    };
  }

  /**
   * Sets what heads and framing of a connection use. While all use too much, the connection that uses most is
   * closed, and of several such connections the one that has been charged for longest.
   *
   * @param user - The connection.
   * @param bytes - Bytes of the heap; 0 if the connection uses none any more.
   */
  chargeHeap(user: IHeapUser, bytes: number): void {
    const previousBytes = this.heapUsers.get(user) ?? 0;
    this.heads.charge(bytes - previousBytes);
    if (bytes === 0) {
      this.heapUsers.delete(user);
    } else {
      this.heapUsers.set(user, bytes);
    }
    while (this.heads.isFull) {
      const [largest] = [...this.heapUsers].reduce((a, b) => (b[1] > a[1] ? b : a));
      this.chargeHeap(largest, 0);
      largest.giveUp(AnswerCut.Heap);
    }
  }

  /** Sees to it that answers without progress are looked for while there are incomplete ones. */
  watchProgress(): void {
    if (this.cancelSweep === undefined && !this.isClosed) {
      this.cancelSweep = this.clock.after(sweepIntervalMs, () => {
        this.cancelSweep = undefined;
        this.sweep();
        if (this.account.incompleteCount > 0) {
          this.watchProgress();
        }
      });
    }
  }

  /**
   * Counts and logs an answer that was given up.
   *
   * @param reason - Why.
   * @param origin - Who sent it.
   * @param receivedBytes - Bytes of the body that had arrived.
   */
  recordCut(reason: AnswerCut, origin: string, receivedBytes: number): void {
    this.countCut(reason);
    this.cutLogger.log(LogLevel.Warn, 'answer-given-up', {
      reason,
      origin,
      receivedBytes,
      ...this.use,
    });
  }

  /**
   * Counts and logs an exception of the receiver of an answer.
   *
   * @param thrown - What it threw.
   * @param origin - Who sent the answer.
   */
  recordReceiverFailure(thrown: unknown, origin: string): void {
    this.countCut(AnswerCut.Receiver);
    this.logger.log(LogLevel.Error, 'answer-receiver-failed', {
      origin,
      reason: toErrorMessage(thrown),
      stack: stackOf(thrown),
    });
  }

  /** Stops the timer. */
  close(): void {
    this.isClosed = true;
    this.cancelSweep?.();
    this.cancelSweep = undefined;
  }

  private sweep(): void {
    this.account.sweep(this.clock.monotonicMs());
    const { largeBytes, smallBytes } = this.account;
    this.pool.trim(Math.max(0, this.bounds.memoryBytes - largeBytes - smallBytes));
  }
}

/**
 * Creates the intake of a process.
 *
 * @param settings - Limits of the machine, and bounds that the operator sets explicitly.
 * @param countCut - Counts an answer that was given up.
 * @param clock - Source of time and of timers.
 * @param logger - Receives a line for each answer that was given up, limited in number.
 * @returns The intake; to be closed by its owner.
 */
export function createAnswerIntake(
  settings: AnswerSettings,
  countCut: (cut: AnswerCut) => void,
  clock: IClock & ITimers,
  logger: ILogger,
): AnswerIntake {
  const bounds = deriveAnswerBounds(settings, getHeapStatistics().heap_size_limit);
  return new AnswerIntake(bounds, countCut, clock, logger);
}

/**
 * Creates an intake for answers that have an account of their own.
 *
 * @param accountMb - Memory that they may use, in megabytes.
 * @param countCut - Counts an answer that was given up.
 * @param clock - Source of time and of timers.
 * @param logger - Receives a line for each answer that was given up, limited in number.
 * @returns The intake; to be closed by its owner.
 */
export function createSeparateIntake(
  accountMb: number,
  countCut: (cut: AnswerCut) => void,
  clock: IClock & ITimers,
  logger: ILogger,
): AnswerIntake {
  const bounds = deriveSeparateBounds(accountMb, getHeapStatistics().heap_size_limit);
  return new AnswerIntake(bounds, countCut, clock, logger);
}
