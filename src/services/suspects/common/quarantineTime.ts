import { isPartSubject } from './subject.js';

/** Time for which a request stays quarantined after its last crash, in milliseconds. */
const requestQuarantineMs = 3_600_000;

/** Time from the last crash of a quarantined part to the trial of one request that holds it, in ms. */
const firstProbationMs = 300_000;

/** Factor by which each further crash of a part delays its next trial. */
const probationFactor = 4;

/** Maximum time until the next trial of a quarantined part, in milliseconds. */
const maxProbationMs = 86_400_000;

/**
 * Returns the time for which a subject stays quarantined after its last crash. Other requests miss a part, so
 * that a part is tried again soon, but ever more rarely the more crashes speak against it.
 *
 * @param subject - Fingerprint of a request, or a part.
 * @param furtherCrashes - Number of crashes beyond those that quarantine it.
 * @returns The time in milliseconds.
 */
export function quarantineMs(subject: string, furtherCrashes: number): number {
  return isPartSubject(subject)
    ? Math.min(maxProbationMs, firstProbationMs * probationFactor ** Math.max(0, furtherCrashes))
    : requestQuarantineMs;
}
