import {
  unreadWindowBytes,
  type AccountBounds,
  type IntakeSettings,
} from '../../intake/common/intakeBounds.js';

const bytesPerMb = 1_000_000;

/** Memory of the smallest machine and of the process without requests, in megabytes. */
const defaultMemoryMb = 250;
const baseMemoryMb = 130;

/** Share of the remaining memory that answers may use; callers have half of it. */
const accountShare = 1 / 6;

/** Least bound of the account, in megabytes: a few answers of the largest size. */
const minAccountMb = 12;

/** Share of the account that only small answers may use. */
const smallAnswerShare = 0.25;

/** Share of the account that answers which wait for room may leave unread in the kernel. */
const waitingShare = 0.8;

/** Share of the V8 heap limit that heads and framing may use. */
const heapShare = 0.15;

/** Bounds on what the answers of others make a process hold. */
export interface AnswerBounds extends AccountBounds {
  /** Largest size of a head, in bytes, of which names and values count. */
  readonly maxHeadBytes: number;
  /** Largest number of fields of a head. */
  readonly maxHeadFields: number;
  /** Largest number of interim heads before an answer. */
  readonly maxInterimHeads: number;
  /** Bytes of an answer that are no part of its body, and aren't made up for by the body, at most. */
  readonly maxFramingBytes: number;
  /** Bytes that heads and framing may use in the V8 heap. */
  readonly heapBytes: number;
  /** Share of the processor time that bodies in many small pieces may use. */
  readonly pieceShare: number;
}

/** Settings that the bounds derive from; those left out have defaults. */
export type AnswerSettings = Pick<IntakeSettings, 'memoryMb'> & {
  readonly answerMemoryMb?: number | null;
};

/**
 * Derives the bounds of a process.
 *
 * @param settings - Limits of the machine, and bounds that the operator sets explicitly.
 * @param heapLimitBytes - Limit of the V8 heap, in bytes.
 * @returns The bounds.
 */
export function deriveAnswerBounds(settings: AnswerSettings, heapLimitBytes: number): AnswerBounds {
  const freeMb = (settings.memoryMb ?? defaultMemoryMb) - baseMemoryMb;
  const accountMb = settings.answerMemoryMb ?? Math.max(minAccountMb, freeMb * accountShare);
  const memoryBytes = accountMb * bytesPerMb;
  return {
    memoryBytes,
    smallBodyMemoryBytes: memoryBytes * smallAnswerShare,
    smallBodyBytes: 65_536,
    maxWaiting: Math.ceil((memoryBytes * waitingShare) / unreadWindowBytes),
    // Without a shortage, the deadline of the request decides how long an answer may pause.
    stallMs: Infinity,
    yieldMs: 500,
    // Endpoints are near: one that sends less than 128 KiB a second while others wait gives way.
    progressMarkBytes: 65_536,
    maxHeadBytes: 16_384,
    maxHeadFields: 256,
    maxInterimHeads: 16,
    maxFramingBytes: 24_576,
    heapBytes: heapLimitBytes * heapShare,
    pieceShare: 0.3,
  };
}

/** Share of a whole process's bounds on heap and processor time for answers that are few and small. */
const separateShare = 0.25;

/**
 * Derives the bounds for answers that have an account of their own, so that others can't keep them waiting.
 *
 * @param accountMb - Memory that they may use, in megabytes.
 * @param heapLimitBytes - Limit of the V8 heap, in bytes.
 * @returns The bounds.
 */
export function deriveSeparateBounds(accountMb: number, heapLimitBytes: number): AnswerBounds {
  const bounds = deriveAnswerBounds({ answerMemoryMb: accountMb }, heapLimitBytes);
  return {
    ...bounds,
    heapBytes: bounds.heapBytes * separateShare,
    pieceShare: bounds.pieceShare * separateShare,
  };
}
