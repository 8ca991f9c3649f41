import { IntakeCut } from '../../intake/common/intakeCut.js';

/** Why an answer was given up for the sake of the process or of other answers. */
export enum AnswerCut {
  /** The body or an event exceeds its largest size. */
  TooLarge = 'too-large',
  /** The head has too many fields. */
  ManyFields = 'many-fields',
  /** Too many interim heads came before the answer. */
  InterimHeads = 'interim-heads',
  /** Bytes that are no part of a body arrived without end. */
  Framing = 'framing',
  /** The bytes are no answer in the protocol. */
  Malformed = 'malformed',
  /** The body made no progress for the stall timeout. */
  Stalled = 'stalled',
  /** The body made little progress and others needed its memory. */
  Yielded = 'yielded',
  /** The account had no room, and too many others waited for it. */
  NoRoom = 'no-room',
  /** The receiver of the answer in this process threw an exception. */
  Receiver = 'receiver',
  /** Heads and framing of all answers use too much of the heap. */
  Heap = 'heap',
}

/** Cuts for which the sender of the answer is not to blame. */
const blamelessCuts: ReadonlySet<AnswerCut> = new Set([
  AnswerCut.NoRoom,
  AnswerCut.Heap,
  AnswerCut.Receiver,
]);

/**
 * Returns whether the sender of an answer failed.
 *
 * @param cut - Why the answer was given up.
 */
export function isFault(cut: AnswerCut): boolean {
  return !blamelessCuts.has(cut);
}

/**
 * Returns why an answer is given up if the account refuses its body.
 *
 * @param cut - Decision of the account.
 */
export function answerCutOf(cut: IntakeCut): AnswerCut {
  switch (cut) {
    case IntakeCut.BodyYielded:
      return AnswerCut.Yielded;
    case IntakeCut.BodyNoRoom:
      return AnswerCut.NoRoom;
    default:
      return AnswerCut.Stalled;
  }
}
