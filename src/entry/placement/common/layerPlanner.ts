import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';
import * as S from 'fp-ts/lib/string.js';
import type { LayerRange, ModelSpec } from '../../../services/model/common/model.js';

/** Endpoint that can hold layers. */
export interface PlacementCandidate {
  readonly id: string;
  readonly dataCentre: string;
  readonly memoryMiB: number;
  /** Time to compute one layer for one token, in microseconds. */
  readonly layerMicros: number;
}

/** Stage of a planned chain. */
export interface PlannedStage {
  readonly endpoint: string;
  readonly range: LayerRange;
}

/** Pipeline stages in order; together they cover each layer of a model exactly once. */
export type PlannedChain = readonly PlannedStage[];

const byId = pipe(
  S.Ord,
  Ord.contramap((candidate: PlacementCandidate) => candidate.id),
);

const byDataCentreName = pipe(
  S.Ord,
  Ord.contramap((candidate: PlacementCandidate) => candidate.dataCentre),
);

/** Fraction of an accelerator's memory used for layers; the rest holds the key-value cache. */
const layerMemoryShare = 0.8;

/** Maximum number of stages in a chain. Each additional stage adds a hop to every token. */
const maxStages = 16;

/**
 * Returns the maximum number of layers of a model that an endpoint can hold.
 *
 * @param candidate - The endpoint.
 * @param model - The model.
 * @returns A whole number of layers.
 */
export function layerCapacity(candidate: PlacementCandidate, model: ModelSpec): number {
  const layers = Math.floor((candidate.memoryMiB * layerMemoryShare) / model.layerMiB);
  return Math.min(layers, model.layers);
}

function maxLayersWithin(
  candidate: PlacementCandidate,
  model: ModelSpec,
  limitMicros: number,
): number {
  const layersInTime = Math.floor(limitMicros / candidate.layerMicros);
  return Math.min(layerCapacity(candidate, model), layersInTime);
}

/**
 * Returns the smallest possible time of the slowest stage per token, in microseconds, or undefined
 * if the endpoints cannot hold all layers. Uses binary search over all possible stage times.
 */
function findMinSlowestStageMicros(
  members: readonly PlacementCandidate[],
  model: ModelSpec,
): number | undefined {
  const limitsMicros = members
    .flatMap((member) =>
      Array.from(
        { length: layerCapacity(member, model) },
        (_unused, index) => (index + 1) * member.layerMicros,
      ),
    )
    .sort((a, b) => a - b);
  const coversModel = (limitMicros: number) =>
    members.reduce((sum, member) => sum + maxLayersWithin(member, model, limitMicros), 0) >=
    model.layers;
  let low = 0;
  let high = limitsMicros.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (coversModel(limitsMicros[middle])) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return limitsMicros[low];
}

/**
 * Splits a model's layers over endpoints so that the slowest stage is as fast as memory allows.
 *
 * @param members - Endpoints, in pipeline order.
 * @param model - The model.
 * @returns The chain, without endpoints that get no layers, or undefined if the endpoints do not
 *   have enough memory.
 */
export function splitLayers(
  members: readonly PlacementCandidate[],
  model: ModelSpec,
): PlannedChain | undefined {
  const limitMicros = findMinSlowestStageMicros(members, model);
  if (limitMicros === undefined) {
    return undefined;
  }
  const stages: PlannedStage[] = [];
  let nextLayer = 0;
  for (const member of members) {
    const count = Math.min(maxLayersWithin(member, model, limitMicros), model.layers - nextLayer);
    if (count > 0) {
      stages.push({ endpoint: member.id, range: { from: nextLayer, to: nextLayer + count } });
      nextLayer += count;
    }
  }
  return nextLayer === model.layers ? stages : undefined;
}

/** Selects endpoints in descending order of layer capacity until they can hold the model. */
function selectMembers(
  free: readonly PlacementCandidate[],
  model: ModelSpec,
): readonly PlacementCandidate[] | undefined {
  const byCapacityDescending = pipe(
    N.Ord,
    Ord.reverse,
    Ord.contramap((candidate: PlacementCandidate) => layerCapacity(candidate, model)),
  );
  const sorted = pipe(free, RA.sortBy([byCapacityDescending, byId]));
  const chosen: PlacementCandidate[] = [];
  let layers = 0;
  for (const candidate of sorted) {
    if (layers >= model.layers || chosen.length >= maxStages) {
      break;
    }
    chosen.push(candidate);
    layers += layerCapacity(candidate, model);
  }
  return layers >= model.layers ? chosen : undefined;
}

/** Sorts endpoints so that those in the same data centre are adjacent. */
function sortByDataCentre(members: readonly PlacementCandidate[]): readonly PlacementCandidate[] {
  return pipe(members, RA.sortBy([byDataCentreName, byId]));
}

/**
 * Forms a chain from free endpoints, within one data centre if possible.
 *
 * @param free - Endpoints that no chain uses.
 * @param model - The model.
 * @returns The chain, or undefined if the free endpoints cannot hold the model.
 */
export function formChain(
  free: readonly PlacementCandidate[],
  model: ModelSpec,
): PlannedChain | undefined {
  const dataCentres = [...new Set(free.map((candidate) => candidate.dataCentre))].sort();
  const pools = [
    ...dataCentres.map((dataCentre) =>
      free.filter((candidate) => candidate.dataCentre === dataCentre),
    ),
    free,
  ];
  for (const pool of pools) {
    const members = selectMembers(pool, model);
    const chain = members && splitLayers(sortByDataCentre(members), model);
    if (chain) {
      return chain;
    }
  }
  return undefined;
}

/** A model and the desired number of chains for it. */
export interface PlacementDemand {
  readonly model: ModelSpec;
  readonly replicas: number;
}

/** Planned chains by model name. */
export type Placement = ReadonlyMap<string, readonly PlannedChain[]>;

/**
 * Replaces the lost endpoints of a chain with free ones.
 *
 * @returns The repaired chain, or undefined if there are not enough suitable free endpoints.
 */
function repairChain(
  chain: PlannedChain,
  model: ModelSpec,
  liveIds: ReadonlySet<string>,
  spares: Map<string, PlacementCandidate>,
): PlannedChain | undefined {
  const usedSpares = new Map<string, PlacementCandidate>();
  const repairedStages: PlannedStage[] = [];
  for (const stage of chain) {
    const neededLayers = stage.range.to - stage.range.from;
    const spare = [...spares.values()]
      .filter(
        (candidate) =>
          !usedSpares.has(candidate.id) && layerCapacity(candidate, model) >= neededLayers,
      )
      .sort((a, b) => a.layerMicros - b.layerMicros)[0];
    if (liveIds.has(stage.endpoint)) {
      repairedStages.push(stage);
    } else if (spare) {
      usedSpares.set(spare.id, spare);
      repairedStages.push({ endpoint: spare.id, range: stage.range });
    } else {
      return undefined;
    }
  }
  usedSpares.forEach((_candidate, id) => spares.delete(id));
  return repairedStages;
}

/**
 * Plans which endpoint holds which layers.
 *
 * Intact chains are kept. A lost endpoint of a chain is replaced with a spare one. If no spare fits,
 * the chain is dissolved, so that its remaining endpoints can be used in other chains. Free
 * endpoints then form new chains, first for the models that lack the largest share of their
 * replicas.
 *
 * @param requested - Models and the desired number of chains for each; a fraction is rounded down.
 * @param candidates - Endpoints that can currently hold layers.
 * @param current - The current placement.
 * @returns The new placement.
 */
export function planPlacement(
  requested: readonly PlacementDemand[],
  candidates: readonly PlacementCandidate[],
  current: Placement,
): Placement {
  const demands = requested.map(({ model, replicas }) => ({
    model,
    replicas: Math.floor(replicas),
  }));
  const liveIds = new Set(candidates.map((candidate) => candidate.id));
  const free = new Map(candidates.map((candidate) => [candidate.id, candidate]));
  const planned = new Map<string, PlannedChain[]>(demands.map(({ model }) => [model.name, []]));
  const broken: { readonly model: ModelSpec; readonly chain: PlannedChain }[] = [];
  for (const { model, replicas } of demands) {
    for (const chain of (current.get(model.name) ?? []).slice(0, replicas)) {
      if (chain.every((stage) => liveIds.has(stage.endpoint))) {
        planned.get(model.name)?.push(chain);
        chain.forEach((stage) => free.delete(stage.endpoint));
      } else {
        broken.push({ model, chain });
      }
    }
  }
  for (const { model, chain } of broken) {
    const chainEndpoints = new Set(chain.map((stage) => stage.endpoint));
    const spares = new Map([...free].filter(([id]) => !chainEndpoints.has(id)));
    const repairedChain = repairChain(chain, model, liveIds, spares);
    if (repairedChain) {
      planned.get(model.name)?.push(repairedChain);
      repairedChain.forEach((stage) => free.delete(stage.endpoint));
    }
  }
  addChains(demands, planned, free);
  return planned;
}

function addChains(
  demands: readonly PlacementDemand[],
  planned: Map<string, PlannedChain[]>,
  free: Map<string, PlacementCandidate>,
): void {
  const unfilled = new Set(demands);
  while (unfilled.size > 0) {
    const filledShare = ({ model, replicas }: PlacementDemand) =>
      (planned.get(model.name)?.length ?? 0) / replicas;
    const [leastFilled] = [...unfilled].sort((a, b) => filledShare(a) - filledShare(b));
    const chain =
      filledShare(leastFilled) < 1 ? formChain([...free.values()], leastFilled.model) : undefined;
    if (chain) {
      planned.get(leastFilled.model.name)?.push(chain);
      chain.forEach((stage) => free.delete(stage.endpoint));
    } else {
      unfilled.delete(leastFilled);
    }
  }
}
