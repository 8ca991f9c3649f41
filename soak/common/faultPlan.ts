import { SeededRandom } from '../../src/base/common/random.js';
import { FaultKind, type PlannedFault } from './records.js';

/** Faults of one series, at most. */
const maxSeries = 5;

/** Longest pause between the faults of a series, in milliseconds; shorter than most faults. */
const maxStepMs = 700;

/** Longest pause between two series, in milliseconds. */
const maxGapMs = 2_500;

const minFaultMs = 200;

const maxFaultMs = 4_000;

/**
 * Plans faults in series that overlap: of one kind again and again, or of kinds drawn freely.
 *
 * @param seed - Decides all of it.
 * @param lengthMs - Time within which faults begin.
 * @returns The faults by time.
 */
export function planFaults(seed: number, lengthMs: number): readonly PlannedFault[] {
  const random = new SeededRandom(seed);
  const kinds = Object.values(FaultKind);
  const faults: PlannedFault[] = [];
  let atMs = random.integer(0, maxGapMs);
  while (atMs < lengthMs) {
    const isRepeated = random.integer(0, 2) === 0;
    const repeated = random.pick(kinds);
    for (let left = random.integer(1, maxSeries); left > 0 && atMs < lengthMs; left -= 1) {
      faults.push({
        kind: isRepeated ? repeated : random.pick(kinds),
        choice: random.float(),
        atMs,
        forMs: random.integer(minFaultMs, maxFaultMs),
      });
      atMs += random.integer(0, maxStepMs);
    }
    atMs += random.integer(0, maxGapMs);
  }
  return faults;
}
