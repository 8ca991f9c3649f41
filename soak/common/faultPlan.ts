import { SeededRandom } from '../../src/base/common/random.js';
import { plannedFaults, soundFaults } from './faultTimes.js';
import { FaultKind, type PlannedFault } from './records.js';

/** Maximum number of faults in a series. */
const maxFaultsPerSeries = 5;

/**
 * Maximum time between the starts of two faults of a series, in milliseconds. It is shorter than
 * most faults, so that faults overlap.
 */
const maxFaultIntervalMs = 700;

/** Maximum additional time before the next series starts, in milliseconds. */
const maxSeriesIntervalMs = 2_500;

/**
 * Maximum time from the start of a phase of planned work to that of the next, in milliseconds, and the share of
 * it that is planned work alone.
 */
const maxCycleMs = 60_000;
const plannedWorkShare = 0.25;

const minFaultDurationMs = 200;

const maxFaultDurationMs = 4_000;

/**
 * Plans series of overlapping faults. A series either repeats one kind of fault or mixes random
 * kinds. The plan begins with a phase of planned work and of what sound endpoints may do, and comes back to it.
 *
 * @param seed - Seed of the random choices; the same seed gives the same plan.
 * @param spanMs - Time within which faults start, in milliseconds.
 * @param kinds - Kinds of faults to choose from.
 * @returns The faults in the order of their start.
 */
export function planFaults(
  seed: number,
  spanMs: number,
  kinds: readonly FaultKind[] = Object.values(FaultKind),
): readonly PlannedFault[] {
  const random = new SeededRandom(seed);
  const faults: PlannedFault[] = [];
  const calmKinds = kinds.filter((kind) => plannedFaults.has(kind) || soundFaults.has(kind));
  const cycleMs = Math.min(spanMs, maxCycleMs);
  const kindsAt = (ms: number) =>
    calmKinds.length > 0 && ms % cycleMs < plannedWorkShare * cycleMs ? calmKinds : kinds;
  let atMs = random.integer(0, maxSeriesIntervalMs);
  while (atMs < spanMs) {
    const repeatsOneKind = random.integer(0, 2) === 0;
    const repeatedKind = random.pick(kindsAt(atMs));
    for (
      let remaining = random.integer(1, maxFaultsPerSeries);
      remaining > 0 && atMs < spanMs;
      remaining -= 1
    ) {
      faults.push({
        kind: repeatsOneKind ? repeatedKind : random.pick(kindsAt(atMs)),
        targetSelector: random.float(),
        startOffsetMs: atMs,
        durationMs: random.integer(minFaultDurationMs, maxFaultDurationMs),
      });
      atMs += random.integer(0, maxFaultIntervalMs);
    }
    atMs += random.integer(0, maxSeriesIntervalMs);
  }
  return faults;
}
