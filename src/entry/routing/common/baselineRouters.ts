import type { IRandom } from '../../../base/common/random.js';
import type { ChainSpec } from '../../../services/model/common/model.js';
import type { EndpointView } from '../../fleet/common/endpointView.js';
import { mayServe, type IChainRouter, type Route, type RouteRequest } from './chainRouter.js';

/** Picks one of the endpoints whose layer range starts at the next layer of the chain. */
type EndpointPicker = (candidates: readonly EndpointView[]) => EndpointView;

/** Builds a chain stage by stage; undefined if no usable endpoint continues it. */
function buildChain(
  request: RouteRequest,
  endpoints: readonly EndpointView[],
  pick: EndpointPicker,
): Route | undefined {
  const usable = endpoints.filter((view) => mayServe(view, request));
  const chain: ChainSpec[number][] = [];
  let nextLayer = 0;
  while (nextLayer < request.model.layers) {
    const startLayer = nextLayer;
    const candidates = usable.filter((view) => view.report.range.from === startLayer);
    if (candidates.length === 0) {
      return undefined;
    }
    const view = pick(candidates);
    const { id, incarnation, address, report } = view;
    chain.push({ endpoint: id, incarnation, address, range: report.range });
    nextLayer = report.range.to;
  }
  return { chain, expectedMs: 0, prefixHits: 0, considered: usable.length };
}

/** Baseline router that picks a random endpoint for each stage. */
export class RandomRouter implements IChainRouter {
  /** @param random - Source of randomness. */
  constructor(private readonly random: IRandom) {}

  route(request: RouteRequest, endpoints: readonly EndpointView[]): Route | undefined {
    return buildChain(
      request,
      endpoints,
      (candidates) => candidates[this.random.integer(0, candidates.length - 1)],
    );
  }
}

/** Baseline router that picks the endpoints of each stage in turn. */
export class RoundRobinRouter implements IChainRouter {
  private requestCount = 0;

  route(request: RouteRequest, endpoints: readonly EndpointView[]): Route | undefined {
    this.requestCount += 1;
    return buildChain(
      request,
      endpoints,
      (candidates) => candidates[this.requestCount % candidates.length],
    );
  }
}
