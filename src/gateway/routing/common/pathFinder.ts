import type { EngineProfile } from '../../config/common/configSnapshot.js';
import type { Endpoint, LayerRange } from '../../directory/common/endpoint.js';
import { hasFreeSlot } from './headroom.js';
import type { EndpointLoad } from './endpointLoad.js';
import { occupancyMs, stageWaitMs, transferMs, type StageWork } from './passModel.js';
import type { Reservation, ReservationLedger } from './reservationLedger.js';

/** Pipeline stage: the layers of a path that one endpoint runs. */
export interface PathStage extends LayerRange {
  readonly endpoint: Endpoint;
}

/** Sequence of pipeline stages that runs every layer once and in order. */
export interface LayerPath {
  readonly stages: readonly PathStage[];
  /** Capacity to reserve while a request uses the path. */
  readonly reservations: readonly Reservation[];
  /** Expected time to the first event, in milliseconds. */
  readonly firstEventMs: number;
  /** Number of hops from one data centre to another. */
  readonly crossings: number;
}

/** Requirements that a path has to meet. */
export interface PathRequest {
  /** Tokens to prefill before the first event. */
  readonly promptTokens: number;
  /** Tokens of key-value cache to reserve, for the prompt and the expected answer. */
  readonly reservedTokens: number;
  /** Addresses that must not be part of the path. */
  readonly excludedAddresses?: ReadonlySet<string>;
  /** Addresses that may serve as the first stage; any address if undefined. */
  readonly allowedFirstAddresses?: ReadonlySet<string>;
  /** First stage that the path must keep when a running request is moved to another path. */
  readonly firstStage?: { readonly address: string; readonly to: number };
  /** Addresses at which the request runs already; their limits don't count it again. */
  readonly runningAddresses?: ReadonlySet<string>;
  /** Whether to accept a path without free capacity. */
  readonly ignoresCapacity?: boolean;
  /** Whether the path must lie within one data centre. */
  readonly staysInDataCentre?: boolean;
  /** Share of each endpoint's memory and slots that the request leaves to others; 0 by default. */
  readonly headroomShare?: number;
}

/** Whether prompts are paced, so that paths are chosen by the pass model. */
export interface IPathPacing {
  readonly isInEffect: boolean;
  /** Returns whether a prompt of this many tokens is long. */
  isLong(promptTokens: number): boolean;
  /**
   * Returns how much a long prompt's own prefill counts as a delay to others at an endpoint.
   *
   * @param promptTokens - Tokens of the prompt.
   * @returns Function that is called with the load of each endpoint of a search; undefined if the prompt isn't
   *   long.
   */
  delayWeightOf(promptTokens: number): DelayWeight | undefined;
}

/** Returns the factor by which the prefill of a prompt at an endpoint counts again, as a delay to others. */
export type DelayWeight = (load: Readonly<EndpointLoad>) => number;

/** How the prompts of one search are paced. */
interface SearchPacing {
  /** Undefined for a prompt that isn't long. */
  readonly delayWeight: DelayWeight | undefined;
}

/** Endpoint with its layers, free capacity and expected times for one request. */
interface Candidate {
  readonly endpoint: Endpoint;
  readonly from: number;
  readonly to: number;
  readonly capacityTokenLayers: number;
  readonly freeTokenLayers: number;
  readonly mayBeFirstStage: boolean;
  readonly stepMsPerLayer: number;
  readonly prefillMsPerLayer: number;
  readonly waitMs: number;
  /** Wait if all prompts in prefill are still ahead; a run isn't taken to be silent before. */
  readonly longestWaitMs: number;
  /** Delay of a long prompt to the shorter ones at the endpoint. */
  readonly delayToOthersMsPerLayer: number;
}

interface SearchEdge {
  readonly candidate: Candidate;
  readonly to: number;
  readonly cost: number;
  readonly previous: SearchNode | undefined;
}

interface SearchNode {
  readonly cost: number;
  readonly via: SearchEdge | undefined;
}

/** Share of an endpoint's cache memory that may be reserved; the rest absorbs long answers. */
export const maxReservedShare = 0.97;

/** Minimum reserved share of an endpoint's capacity at which a refusal counts as lack of capacity. */
const nearCapacityShare = 0.8;

/**
 * Cost of one more stage on a path, in milliseconds: a network hop, and the wait for a running pass to
 * end, which takes half a pass on average.
 */
const stageCostMs = 2;

/**
 * Number of decode steps that count towards the cost of a path, in addition to the time to the first
 * event. A slow path holds its capacity for longer.
 */
const decodeStepsInCost = 80;

/** Cost of an endpoint at full utilisation, in milliseconds; scales with the utilisation squared. */
const fullCapacityCostMs = 200;

/** Cost of a hop to another data centre, in milliseconds; prompt activations saturate the link. */
const crossingCostMs = 400;

const millisecondsPerSecond = 1_000;

/** Address under which prompts are counted whose activations use the link between data centres. */
export const linkAddress = 'data-centre-link';

/**
 * Computes the key-value cache capacity of an endpoint.
 *
 * @param engine - Engine profile of the service.
 * @param endpoint - Endpoint whose card provides the memory.
 * @param layerCount - Number of layers that it holds.
 * @returns Capacity in tokens times layers, 0 for an unknown card.
 */
export function cacheTokenLayers(
  engine: EngineProfile,
  endpoint: Endpoint,
  layerCount: number,
): number {
  const card = engine.cards.get(endpoint.card ?? '');
  if (card === undefined) {
    return 0;
  }
  const freeBytes = (card.memoryMb - layerCount * engine.layerMb) * 1e6;
  return Math.max(0, freeBytes / (engine.cacheBytesPerToken / engine.layerCount));
}

/** Finds paths over endpoints that each hold a range of a model's layers. */
export class PathFinder {
  /**
   * @param currentEngine - Returns the engine profile of the current configuration.
   * @param ledger - Reservations at the endpoints.
   * @param pacing - Whether prompts are paced; they are not if undefined.
   */
  constructor(
    private readonly currentEngine: () => EngineProfile,
    private readonly ledger: ReservationLedger,
    private readonly pacing?: IPathPacing,
  ) {}

  private get engine(): EngineProfile {
    return this.currentEngine();
  }

  /**
   * Finds the cheapest path with enough free capacity. Crosses data centres only if no single data
   * centre has such a path.
   *
   * @param endpoints - Endpoints that accept new requests.
   * @param req - Requirements of the path.
   * @returns The path, or undefined if no path has enough free capacity.
   */
  find(endpoints: readonly Endpoint[], req: PathRequest): LayerPath | undefined {
    const pacing = this.pacing?.isInEffect
      ? { delayWeight: this.pacing.delayWeightOf(req.promptTokens) }
      : undefined;
    const candidates = endpoints.flatMap((endpoint) => this.toCandidates(endpoint, req, pacing));
    const dataCentres = new Set(candidates.map(({ endpoint }) => endpoint.dataCentre));
    let best: { readonly cost: number; readonly edges: readonly SearchEdge[] } | undefined;
    for (const dataCentre of dataCentres) {
      const found = this.search(
        candidates.filter(({ endpoint }) => endpoint.dataCentre === dataCentre),
        req,
      );
      if (found && (best === undefined || found.cost < best.cost)) {
        best = found;
      }
    }
    if (best === undefined && dataCentres.size > 1 && !req.staysInDataCentre) {
      best = this.search(candidates, req);
    }
    return best && this.toPath(best.edges, req);
  }

  /**
   * Checks whether a refusal by an endpoint can be due to lack of capacity.
   *
   * @param endpoint - Endpoint that refused a request.
   * @returns Whether most of its capacity is reserved.
   */
  isNearCapacity(endpoint: Endpoint): boolean {
    const { from, to } = endpoint.layers ?? { from: 0, to: 0 };
    const capacity = cacheTokenLayers(this.engine, endpoint, to - from);
    return this.ledger.loadAt(endpoint.address).tokenLayers >= nearCapacityShare * capacity;
  }

  private toCandidates(
    endpoint: Endpoint,
    req: PathRequest,
    pacing: SearchPacing | undefined,
  ): readonly Candidate[] {
    const { engine } = this;
    const { headroomShare = 0 } = req;
    const card = engine.cards.get(endpoint.card ?? '');
    const { layers } = endpoint;
    if (
      card === undefined ||
      layers === undefined ||
      req.excludedAddresses?.has(endpoint.address)
    ) {
      return [];
    }
    const load = this.ledger.loadAt(endpoint.address);
    const reservableCapacity =
      maxReservedShare * cacheTokenLayers(engine, endpoint, layers.to - layers.from);
    const learnedLimit = this.ledger.learnedLimitAt(endpoint.address);
    const capacity = Math.min(reservableCapacity, learnedLimit);
    // A learned limit is near the load already: headroom below it would admit nothing until it expires.
    const usableCapacity = Math.min(reservableCapacity * (1 - headroomShare), learnedLimit);
    const stepMs =
      (engine.stepMs + engine.stepMsPerActiveRequest * load.requests) * card.stepFactor;
    const attentionMs =
      (engine.attentionMsPerMillionPairs * req.promptTokens * req.promptTokens) / 2e6;
    const prefillMs =
      ((req.promptTokens * millisecondsPerSecond) / engine.prefillTokensPerSecond + attentionMs) *
      card.prefillFactor;
    const paced =
      pacing && this.pacedTimes(pacing, req, { card, layers: layers.to - layers.from, load });
    return [
      {
        endpoint,
        from: layers.from,
        to: layers.to,
        capacityTokenLayers: capacity,
        freeTokenLayers: req.ignoresCapacity
          ? Number.POSITIVE_INFINITY
          : usableCapacity - load.tokenLayers,
        mayBeFirstStage:
          (req.allowedFirstAddresses?.has(endpoint.address) ?? true) &&
          (req.ignoresCapacity === true ||
            hasFreeSlot(endpoint.address, endpoint.slots, load.firstStageRequests, headroomShare)),
        stepMsPerLayer: stepMs / engine.layerCount,
        prefillMsPerLayer: paced ? paced.prefillMsPerLayer : prefillMs / engine.layerCount,
        waitMs: paced ? paced.waitMs : load.prefillMs,
        longestWaitMs: paced ? Math.max(load.prefillMs, paced.waitMs) : load.prefillMs,
        delayToOthersMsPerLayer: paced ? paced.delayToOthersMsPerLayer : 0,
      },
    ];
  }

  /**
   * Computes the times of a prompt at an endpoint by the pass model. A long prompt goes where it delays the
   * fewest shorter ones, so their delay is part of its cost.
   */
  private pacedTimes(
    { delayWeight }: SearchPacing,
    req: PathRequest,
    work: StageWork,
  ): Pick<Candidate, 'prefillMsPerLayer' | 'waitMs' | 'delayToOthersMsPerLayer'> {
    const { engine } = this;
    const layers = Math.max(1, work.layers);
    const prefillMsPerLayer = occupancyMs(engine, work, req.promptTokens) / layers;
    return {
      prefillMsPerLayer,
      waitMs: stageWaitMs(engine, work),
      delayToOthersMsPerLayer: (delayWeight?.(work.load) ?? 0) * prefillMsPerLayer,
    };
  }

  /**
   * Searches the cheapest path in a graph whose nodes are layer boundaries. Each endpoint adds edges
   * between the boundaries inside its range, so endpoints with the same layers compete edge by edge.
   */
  private search(
    candidates: readonly Candidate[],
    req: PathRequest,
  ): { readonly cost: number; readonly edges: readonly SearchEdge[] } | undefined {
    const endLayer = this.engine.layerCount;
    const boundaries = [
      ...new Set([0, endLayer, ...candidates.flatMap(({ from, to }) => [from, to])]),
    ].sort((a, b) => a - b);
    const nodes = new Map<number, SearchNode>();
    const start = req.firstStage?.to ?? 0;
    const firstCandidate = candidates.find(
      ({ endpoint }) => endpoint.address === req.firstStage?.address,
    );
    if (req.firstStage && firstCandidate) {
      const edge = { candidate: firstCandidate, to: start, cost: 0, previous: undefined };
      nodes.set(start, { cost: 0, via: edge });
    } else if (req.firstStage) {
      return undefined;
    } else {
      nodes.set(0, { cost: 0, via: undefined });
    }
    if (!boundaries.includes(start)) {
      boundaries.push(start);
      boundaries.sort((a, b) => a - b);
    }
    for (const boundary of boundaries) {
      const node = nodes.get(boundary);
      if (node && boundary < endLayer) {
        this.relax(nodes, node, boundary, boundaries, candidates, req);
      }
    }
    const end = nodes.get(endLayer);
    if (end?.via === undefined) {
      return undefined;
    }
    const edges: SearchEdge[] = [];
    for (let edge: SearchEdge | undefined = end.via; edge; edge = edge.previous?.via) {
      edges.unshift(edge);
    }
    return { cost: end.cost, edges };
  }

  private relax(
    nodes: Map<number, SearchNode>,
    node: SearchNode,
    boundary: number,
    boundaries: readonly number[],
    candidates: readonly Candidate[],
    req: PathRequest,
  ): void {
    for (const candidate of candidates) {
      const isUnusable =
        candidate.from > boundary || candidate.to <= boundary || isOnPath(node, candidate);
      if (isUnusable || (boundary === 0 && !candidate.mayBeFirstStage)) {
        continue;
      }
      for (const to of boundaries) {
        const neededTokenLayers = req.reservedTokens * (to - boundary);
        if (to <= boundary || to > candidate.to || neededTokenLayers > candidate.freeTokenLayers) {
          continue;
        }
        const cost = node.cost + this.edgeCost(candidate, to - boundary, neededTokenLayers, node);
        if (cost < (nodes.get(to)?.cost ?? Number.POSITIVE_INFINITY)) {
          nodes.set(to, { cost, via: { candidate, to, cost, previous: node } });
        }
      }
    }
  }

  private edgeCost(
    candidate: Candidate,
    layers: number,
    neededTokenLayers: number,
    node: SearchNode,
  ): number {
    const previous = node.via?.candidate.endpoint;
    const remaining = Math.min(
      candidate.capacityTokenLayers,
      candidate.freeTokenLayers - neededTokenLayers,
    );
    const utilisation = 1 - remaining / Math.max(1, candidate.capacityTokenLayers);
    const isCrossing =
      previous !== undefined && previous.dataCentre !== candidate.endpoint.dataCentre;
    return (
      stageCostMs +
      (isCrossing ? crossingCostMs : 0) +
      candidate.waitMs +
      (candidate.prefillMsPerLayer + candidate.delayToOthersMsPerLayer) * layers +
      candidate.stepMsPerLayer * layers * decodeStepsInCost +
      fullCapacityCostMs * utilisation * utilisation
    );
  }

  private toPath(edges: readonly SearchEdge[], req: PathRequest): LayerPath {
    let from = 0;
    const stages: PathStage[] = [];
    const reservations: Reservation[] = [];
    let firstEventMs = 0;
    const passSteps = this.engine.stepsPerPass;
    for (const { candidate, to } of edges) {
      const count = to - from;
      const { endpoint } = candidate;
      const prefillMs = candidate.prefillMsPerLayer * count;
      stages.push({ endpoint, from, to });
      reservations.push({
        address: endpoint.address,
        tokenLayers: req.reservedTokens * count,
        prefillMs,
        isFirstStage: from === 0,
      });
      firstEventMs +=
        stageCostMs +
        candidate.longestWaitMs +
        prefillMs +
        candidate.stepMsPerLayer * count * passSteps * 2;
      from = to;
    }
    const dataCentres = stages.map(({ endpoint }) => endpoint.dataCentre);
    const crossings = dataCentres.filter(
      (dataCentre, index) => index > 0 && dataCentre !== dataCentres[index - 1],
    );
    const path = { stages, reservations, firstEventMs, crossings: crossings.length };
    return this.pacing?.isInEffect ? this.withPromptTokens(path, req, this.pacing) : path;
  }

  /**
   * Adds what pacing needs to a path: the tokens of the prompt, and the use of the link between data centres.
   */
  private withPromptTokens(
    path: LayerPath,
    { promptTokens }: PathRequest,
    pacing: IPathPacing,
  ): LayerPath {
    const { engine } = this;
    const transfersMs = path.crossings * transferMs(engine, promptTokens);
    const link: Reservation = {
      address: linkAddress,
      tokenLayers: 0,
      prefillMs: transfersMs,
      isFirstStage: false,
    };
    const { promptTokens: queuedTokens = 0 } = this.ledger.loadAt(linkAddress);
    const used = transfersMs > 0 ? [...path.reservations, link] : path.reservations;
    const longPart = pacing.isLong(promptTokens) ? { longPromptTokens: promptTokens } : {};
    return {
      ...path,
      firstEventMs:
        path.firstEventMs + (transfersMs > 0 ? transfersMs + transferMs(engine, queuedTokens) : 0),
      reservations: used.map((reservation) => ({ ...reservation, promptTokens, ...longPart })),
    };
  }
}

function isOnPath(node: SearchNode, candidate: Candidate): boolean {
  for (let edge = node.via; edge; edge = edge.previous?.via) {
    if (edge.candidate === candidate) {
      return true;
    }
  }
  return false;
}
