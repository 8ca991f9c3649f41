import type { IClock, ITimers } from '../../../../base/common/clock.js';
import { SystemClock } from '../../../../base/node/systemClock.js';
import { deriveAnswerBounds, type AnswerBounds } from '../../common/answerBounds.js';
import { AnswerIntake } from '../../node/answerIntake.js';

/** Limit of the V8 heap of a deployed gateway, in bytes. */
const heapLimitBytes = 160_000_000;

/** Returns an intake for tests, with the bounds of the smallest machine but for the changes. */
export function createTestIntake(
  changes: Partial<AnswerBounds> = {},
  clock: IClock & ITimers = new SystemClock(),
): AnswerIntake {
  const bounds = { ...deriveAnswerBounds({}, heapLimitBytes), ...changes };
  return new AnswerIntake(bounds, () => undefined, clock, { log: () => undefined });
}
