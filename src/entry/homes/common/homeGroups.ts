import { rendezvousTop } from '../../../base/common/rendezvous.js';

/** Entry instance as far as homes are concerned. */
export interface EntryInstance {
  readonly id: string;
  readonly dataCentre: string;
  readonly region: string;
}

/** Entries that serve one model in one region; others pass requests on to them. */
export const homeGroupSize = 20;

/** Entries in each data centre that watch the configuration; the others hear it from them. */
export const relaysPerDataCentre = 3;

/**
 * Chooses the entries that link to a model's endpoints in a region.
 *
 * @param model - Name of the model.
 * @param region - Name of the region.
 * @param entries - All live entries.
 * @returns Ids of the home entries; all of the region's if there are few.
 */
export function homeGroup(
  model: string,
  region: string,
  entries: readonly EntryInstance[],
): readonly string[] {
  const ids = entries.filter((entry) => entry.region === region).map((entry) => entry.id);
  return rendezvousTop(`${model}\n${region}`, ids, homeGroupSize);
}

/**
 * Chooses the entries of a data centre that watch the configuration.
 *
 * @param dataCentre - Name of the data centre.
 * @param entries - All live entries.
 * @returns Ids of the relays.
 */
export function relaysOf(dataCentre: string, entries: readonly EntryInstance[]): readonly string[] {
  const ids = entries.filter((entry) => entry.dataCentre === dataCentre).map((entry) => entry.id);
  return rendezvousTop(`relay\n${dataCentre}`, ids, relaysPerDataCentre);
}

/**
 * Returns how long a process must wait between platform calls of one kind, so that the whole fleet
 * stays within its budget.
 *
 * @param processes - Number of processes that make such calls.
 * @param callsPerSecond - Budget of the fleet.
 * @param leastMs - Shortest interval, for small fleets.
 * @returns Interval in milliseconds.
 */
export function callIntervalMs(processes: number, callsPerSecond: number, leastMs: number): number {
  return Math.max(leastMs, (processes / callsPerSecond) * 1_000);
}
