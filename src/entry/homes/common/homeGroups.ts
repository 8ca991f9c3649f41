import { rendezvousTop } from '../../../base/common/rendezvous.js';

/** Entry instance, with the fields by which home groups and relays are chosen. */
export interface EntryInstance {
  readonly id: string;
  readonly dataCentre: string;
  readonly region: string;
}

/** Number of entries that serve one model in one region; other entries forward requests to them. */
export const homeGroupSize = 20;

/** Number of entries per data centre that watch the configuration and relay it to the others. */
export const relaysPerDataCentre = 3;

/**
 * Chooses the entries that link to a model's endpoints in a region.
 *
 * @param model - Name of the model.
 * @param region - Name of the region.
 * @param entries - All live entries.
 * @returns Ids of the home entries; all entries of the region if they fit into the group.
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
 * @param minIntervalMs - Shortest interval, for small fleets.
 * @returns Interval in milliseconds.
 */
export function callIntervalMs(
  processes: number,
  callsPerSecond: number,
  minIntervalMs: number,
): number {
  return Math.max(minIntervalMs, (processes / callsPerSecond) * 1_000);
}
