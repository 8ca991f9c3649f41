import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';
import * as NEA from 'fp-ts/lib/ReadonlyNonEmptyArray.js';
import type { IRandom } from '../../../base/common/random.js';
import {
  coversOnce,
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

/** What the router needs to know of a request. */
export interface RouteRequest {
  readonly model: ModelSpec;
  /** Data centre of the entry that serves the caller. */
  readonly dataCentre: string;
  readonly promptLength: number;
  readonly maxTokens: number;
  /** Endpoints that must not be used. */
  readonly avoid: ReadonlySet<string>;
  /** Tells whether an endpoint probably holds the prompt's prefix in its cache. */
  readonly holdsPrefix: (endpoint: string) => boolean;
}

/** A chosen chain and why it was chosen. */
export interface Route {
  readonly chain: ChainSpec;
  /** Expected time of the whole answer, in milliseconds. */
  readonly expectedMs: number;
  /** Stages that probably hold the prompt's prefix. */
  readonly prefixHits: number;
  /** Endpoints that were compared. */
  readonly considered: number;
}

/** A way to choose chains. */
export interface IChainRouter {
  /**
   * Chooses a chain that covers every layer once.
   *
   * @param request - The request.
   * @param endpoints - All known endpoints.
   * @returns The route, or undefined if no usable chain exists.
   */
  route(request: RouteRequest, endpoints: readonly EndpointView[]): Route | undefined;
}

/** Share of a token's time that each further attempt at a stage adds. */
const slowdownPerAttempt = 0.15;

/** Time of a prefilled position relative to a generated token. */
const prefillTimeRatio = 0.05;

/** Most endpoints with the same layers that one decision compares. */
const maxCandidatesPerRange = 8;

/** Tokens that an answer is expected to have at most, for comparing chains. */
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
 * Tells whether an endpoint may serve a part of a request.
 *
 * @param view - The endpoint.
 * @param request - The request.
 * @returns True if it holds layers of the model, is usable and need not be avoided.
 */
export function mayServe(view: EndpointView, request: RouteRequest): boolean {
  return servesModel(view, request.model.name) && isUsable(view) && !request.avoid.has(view.id);
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
 * Chooses the chain with the least expected time among sampled candidates.
 *
 * Endpoints that hold the same layers are interchangeable, so a chain may cross the chains that
 * placement formed. Candidates are sampled anew for each request, which keeps entries with the
 * same view from choosing the same endpoint.
 */
export class FastestChainRouter implements IChainRouter {
  /**
   * @param latency - Latency between data centres.
   * @param random - Source of the samples.
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
    if (!coversOnce(chain, request.model.layers)) {
      return undefined;
    }
    const prefixHits = chain.filter((stage) => request.holdsPrefix(stage.endpoint)).length;
    return { chain, expectedMs: best.costMs, prefixHits, considered: candidates.length };
  }

  /** Keeps endpoints that hold the prefix, and fills up with a random sample of the others. */
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

  /** Latency of one hop for every token of the answer. */
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
    const prefillTokenTimes = request.holdsPrefix(view.id)
      ? 0
      : request.promptLength * prefillTimeRatio;
    return tokenMs * (Math.min(request.maxTokens, maxExpectedTokens) + prefillTokenTimes);
  }
}
