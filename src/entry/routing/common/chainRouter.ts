import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';
import * as NEA from 'fp-ts/lib/ReadonlyNonEmptyArray.js';
import type { IRandom } from '../../../base/common/random.js';
import {
  coversEveryLayerOnce,
  type ChainSpec,
  type ModelSpec,
} from '../../../services/model/common/model.js';
import {
  isUsable,
  loadOf,
  servesModel,
  type EndpointView,
} from '../../fleet/common/endpointView.js';

/** One-way latency between two data centres, in milliseconds. */
export type DataCentreLatency = (from: string, to: string) => number;

/** Properties of a request that the router uses. */
export interface RouteRequest {
  readonly model: ModelSpec;
  /** Data centre of the entry that received the request. */
  readonly dataCentre: string;
  readonly promptLength: number;
  readonly maxTokens: number;
  /** Endpoints that must not be used. */
  readonly avoidedEndpoints: ReadonlySet<string>;
  /** Returns whether an endpoint probably has the prompt's prefix in its key-value cache. */
  readonly holdsPrefix: (endpoint: string) => boolean;
}

/** A chosen chain with the figures behind the choice. */
export interface Route {
  readonly chain: ChainSpec;
  /**
   * Expected time to generate the answer, counted for at most {@link maxExpectedTokens} tokens, in
   * milliseconds; 0 if the router does not estimate it.
   */
  readonly expectedMs: number;
  /** Number of stages that probably have the prompt's prefix in their cache. */
  readonly prefixHits: number;
  /** Number of endpoints that were compared. */
  readonly considered: number;
}

/** Strategy for choosing chains. */
export interface IChainRouter {
  /**
   * Chooses a chain that covers every layer of the model exactly once.
   *
   * @param request - The request to route.
   * @param endpoints - All known endpoints.
   * @returns The route, or undefined if no usable chain exists.
   */
  route(request: RouteRequest, endpoints: readonly EndpointView[]): Route | undefined;
}

/** Fraction by which each additional attempt at a stage lengthens the time per token. */
const slowdownPerAttempt = 0.15;

/** Time to prefill one prompt token, relative to the time to generate one token. */
const prefillTimeRatio = 0.05;

/** Maximum number of endpoints with the same layers that are compared for one request. */
const maxCandidatesPerRange = 8;

/** Upper bound of the answer length, in tokens, that is assumed when chains are compared. */
const maxExpectedTokens = 64;

interface PartialChain {
  readonly view: EndpointView;
  readonly costMs: number;
  readonly previous: PartialChain | undefined;
}

const byFirstLayer = pipe(
  N.Ord,
  Ord.contramap((view: EndpointView) => view.report.range.from),
);

/**
 * Returns whether an endpoint may serve a stage of a request.
 *
 * @param view - The endpoint.
 * @param request - The request to route.
 * @returns True if it holds layers of the model, is usable and is not in `request.avoidedEndpoints`.
 */
export function mayServe(view: EndpointView, request: RouteRequest): boolean {
  return (
    servesModel(view, request.model.name) &&
    isUsable(view) &&
    !request.avoidedEndpoints.has(view.id)
  );
}

function rangeKey(view: EndpointView): string {
  return `${view.report.range.from}-${view.report.range.to}`;
}

function toChain(end: PartialChain): ChainSpec {
  const stages: PartialChain[] = [];
  for (
    let partial: PartialChain | undefined = end;
    partial !== undefined;
    partial = partial.previous
  ) {
    stages.unshift(partial);
  }
  return stages.map(({ view }) => ({
    endpoint: view.id,
    incarnation: view.incarnation,
    address: view.address,
    range: view.report.range,
  }));
}

/**
 * Chooses the chain with the shortest expected time among sampled candidates.
 *
 * Endpoints that hold the same layers are interchangeable, so a route may combine endpoints of
 * several placed chains. Candidates are sampled anew for each request, so that entries with the
 * same view of the fleet do not all choose the same endpoint.
 */
export class FastestChainRouter implements IChainRouter {
  /**
   * @param latency - One-way latency between data centres.
   * @param random - Source of randomness for sampling.
   */
  constructor(
    private readonly latency: DataCentreLatency,
    private readonly random: IRandom,
  ) {}

  route(request: RouteRequest, endpoints: readonly EndpointView[]): Route | undefined {
    const candidates = pipe(
      endpoints,
      RA.filter((view) => mayServe(view, request)),
      NEA.groupBy(rangeKey),
      Object.values<readonly EndpointView[]>,
      RA.chain((group) => this.sample(group, request)),
      RA.sort(byFirstLayer),
    );
    const best = this.findFastestChain(request, candidates);
    if (best === undefined) {
      return undefined;
    }
    const chain = toChain(best);
    if (!coversEveryLayerOnce(chain, request.model.layers)) {
      return undefined;
    }
    const prefixHits = chain.filter((stage) => request.holdsPrefix(stage.endpoint)).length;
    return { chain, expectedMs: best.costMs, prefixHits, considered: candidates.length };
  }

  /**
   * Reduces a group to `maxCandidatesPerRange` endpoints: up to half of them hold the prefix, the
   * rest are a random sample.
   */
  private sample(group: readonly EndpointView[], request: RouteRequest): readonly EndpointView[] {
    if (group.length <= maxCandidatesPerRange) {
      return group;
    }
    const chosen = new Set<EndpointView>();
    for (const view of group) {
      if (chosen.size < maxCandidatesPerRange / 2 && request.holdsPrefix(view.id)) {
        chosen.add(view);
      }
    }
    while (chosen.size < maxCandidatesPerRange) {
      chosen.add(group[this.random.integer(0, group.length - 1)]);
    }
    return [...chosen];
  }

  private findFastestChain(
    request: RouteRequest,
    candidates: readonly EndpointView[],
  ): PartialChain | undefined {
    const chainsByEndLayer = new Map<number, PartialChain[]>();
    let best: PartialChain | undefined;
    for (const view of candidates) {
      const partial = this.extendFastestChain(request, view, chainsByEndLayer);
      if (partial === undefined) {
        continue;
      }
      const { to } = view.report.range;
      chainsByEndLayer.set(to, [...(chainsByEndLayer.get(to) ?? []), partial]);
      if (to === request.model.layers && (best === undefined || partial.costMs < best.costMs)) {
        best = partial;
      }
    }
    return best;
  }

  private extendFastestChain(
    request: RouteRequest,
    view: EndpointView,
    chainsByEndLayer: ReadonlyMap<number, readonly PartialChain[]>,
  ): PartialChain | undefined {
    const stageMs = this.stageCostMs(request, view);
    if (view.report.range.from === 0) {
      const costMs = stageMs + this.hopCostMs(request, request.dataCentre, view.place);
      return { view, costMs, previous: undefined };
    }
    let best: PartialChain | undefined;
    for (const previous of chainsByEndLayer.get(view.report.range.from) ?? []) {
      const hopMs = this.hopCostMs(request, previous.view.place, view.place);
      const costMs = previous.costMs + hopMs + stageMs;
      if (best === undefined || costMs < best.costMs) {
        best = { view, costMs, previous };
      }
    }
    return best;
  }

  /** Returns the total latency of one hop over all expected tokens of the answer. */
  private hopCostMs(request: RouteRequest, from: string, to: string): number {
    return this.latency(from, to) * Math.min(request.maxTokens, maxExpectedTokens);
  }

  private stageCostMs(request: RouteRequest, view: EndpointView): number {
    const { report } = view;
    const layers = report.range.to - report.range.from;
    const idleStepMicros =
      report.stepMicros > 0
        ? report.stepMicros / (1 + Math.max(0, report.active - 1) * slowdownPerAttempt)
        : layers * report.layerMicros;
    const tokenMs = (idleStepMicros / 1_000) * (1 + loadOf(view) * slowdownPerAttempt);
    const prefillTokenEquivalents = request.holdsPrefix(view.id)
      ? 0
      : request.promptLength * prefillTimeRatio;
    return tokenMs * (Math.min(request.maxTokens, maxExpectedTokens) + prefillTokenEquivalents);
  }
}
