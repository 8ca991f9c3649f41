import type { EngineProfile } from '../../config/common/configSnapshot.js';
import type { Endpoint, LayerRange } from '../../directory/common/endpoint.js';
import type { Reservation, ReservationLedger } from './reservationLedger.js';

/** Layers that one endpoint of a path runs. */
export interface PathStage extends LayerRange {
  readonly endpoint: Endpoint;
}

/** A path that runs every layer once and in order. */
export interface LayerPath {
  readonly stages: readonly PathStage[];
  /** Room to reserve while a request is on the path. */
  readonly reservations: readonly Reservation[];
  /** Expected time to the first event, in milliseconds. */
  readonly firstEventMs: number;
  /** How often the path goes from one data centre to another. */
  readonly crossings: number;
}

/** What a path is wanted for. */
export interface PathRequest {
  /** Tokens that are read before the first event. */
  readonly promptTokens: number;
  /** Tokens of cache to reserve: the prompt and the expected answer. */
  readonly reservedTokens: number;
  /** Endpoints that must not be part of the path. */
  readonly excluded?: ReadonlySet<string>;
  /** Addresses of which the path must begin with one, when the request may run nowhere else. */
  readonly allowedFirstAddresses?: ReadonlySet<string>;
  /** First endpoint that the path must have, when a running request is moved. */
  readonly firstStage?: { readonly address: string; readonly to: number };
  /** Whether a path will do that has no room now. */
  readonly ignoresCapacity?: boolean;
  /** Whether the path must lie within one data centre. */
  readonly staysInDataCentre?: boolean;
}

/** Endpoint with what routing knows of it. */
interface Candidate {
  readonly endpoint: Endpoint;
  readonly from: number;
  readonly to: number;
  readonly roomTokenLayers: number;
  readonly freeTokenLayers: number;
  readonly mayBeFirstStage: boolean;
  readonly stepMsPerLayer: number;
  readonly prefillMsPerLayer: number;
  readonly waitMs: number;
}

interface Edge {
  readonly candidate: Candidate;
  readonly to: number;
  readonly cost: number;
  readonly previous: Node | undefined;
}

interface Node {
  readonly cost: number;
  readonly via: Edge | undefined;
}

/** Share of an endpoint's cache memory that is planned for; the rest absorbs long answers. */
const plannedShare = 0.97;

/** Share of its room that must be reserved for an endpoint to refuse for want of it. */
const pressedShare = 0.8;

/** Cost of one more endpoint on a path, in milliseconds: a hop and half a pass that is running. */
const partMs = 2;

/** Steps by which pace enters the choice beside the first event: a slow path holds room for longer. */
const weighedSteps = 80;

/** Cost of an endpoint whose room is all taken, in milliseconds; grows with the square of it. */
const pressureMs = 200;

/** Cost of a hop to another data centre, in milliseconds; activations of a prompt fill the pipe. */
const crossingMs = 400;

const millisecondsPerSecond = 1_000;

/**
 * Cache memory of an endpoint.
 *
 * @param engine - Behaviour of the engines.
 * @param endpoint - The endpoint.
 * @param layerCount - Layers that it holds.
 * @returns Room in tokens times layers, 0 for an unknown card.
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

/** Finds paths over endpoints that hold parts of a model. */
export class PathFinder {
  /**
   * @param currentEngine - Behaviour of the engines under the configuration in force.
   * @param ledger - Reservations at the endpoints.
   */
  constructor(
    private readonly currentEngine: () => EngineProfile,
    private readonly ledger: ReservationLedger,
  ) {}

  private get engine(): EngineProfile {
    return this.currentEngine();
  }

  /**
   * Finds the cheapest path with room, within one data centre if there is one.
   *
   * @param endpoints - Endpoints that take new work.
   * @param req - What the path is for.
   * @returns The path, or undefined if none has room.
   */
  find(endpoints: readonly Endpoint[], req: PathRequest): LayerPath | undefined {
    const candidates = endpoints.flatMap((endpoint) => this.candidate(endpoint, req));
    const dataCentres = new Set(candidates.map(({ endpoint }) => endpoint.dataCentre));
    let best: { readonly cost: number; readonly edges: readonly Edge[] } | undefined;
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
   * Tells whether a refusal by an endpoint can be for want of room.
   *
   * @param endpoint - The endpoint.
   * @returns False if too little of its room is reserved for that.
   */
  isNearCapacity(endpoint: Endpoint): boolean {
    const { from, to } = endpoint.layers ?? { from: 0, to: 0 };
    const room = cacheTokenLayers(this.engine, endpoint, to - from);
    return this.ledger.loadAt(endpoint.address).tokenLayers >= pressedShare * room;
  }

  private candidate(endpoint: Endpoint, req: PathRequest): readonly Candidate[] {
    const { engine } = this;
    const card = engine.cards.get(endpoint.card ?? '');
    const { layers } = endpoint;
    if (card === undefined || layers === undefined || req.excluded?.has(endpoint.address)) {
      return [];
    }
    const load = this.ledger.loadAt(endpoint.address);
    const planned = plannedShare * cacheTokenLayers(engine, endpoint, layers.to - layers.from);
    const room = Math.min(planned, this.ledger.limitAt(endpoint.address));
    const stepMs =
      (engine.stepMs + engine.stepMsPerActiveRequest * load.requests) * card.stepFactor;
    const pairMs = (engine.attentionMsPerMillionPairs * req.promptTokens * req.promptTokens) / 2e6;
    const prefillMs =
      ((req.promptTokens * millisecondsPerSecond) / engine.prefillTokensPerSecond + pairMs) *
      card.prefillFactor;
    return [
      {
        endpoint,
        from: layers.from,
        to: layers.to,
        roomTokenLayers: room,
        freeTokenLayers: req.ignoresCapacity ? Number.POSITIVE_INFINITY : room - load.tokenLayers,
        mayBeFirstStage:
          (req.allowedFirstAddresses?.has(endpoint.address) ?? true) &&
          (req.ignoresCapacity === true || load.firstStageRequests < endpoint.slots),
        stepMsPerLayer: stepMs / engine.layerCount,
        prefillMsPerLayer: prefillMs / engine.layerCount,
        waitMs: load.prefillMs,
      },
    ];
  }

  /** Shortest path over layer boundaries; endpoints of the same range compete edge by edge. */
  private search(
    candidates: readonly Candidate[],
    req: PathRequest,
  ): { readonly cost: number; readonly edges: readonly Edge[] } | undefined {
    const last = this.engine.layerCount;
    const boundaries = [
      ...new Set([0, last, ...candidates.flatMap(({ from, to }) => [from, to])]),
    ].sort((a, b) => a - b);
    const nodes = new Map<number, Node>();
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
      if (node && boundary < last) {
        this.relax(nodes, node, boundary, boundaries, candidates, req);
      }
    }
    const end = nodes.get(last);
    if (end?.via === undefined) {
      return undefined;
    }
    const edges: Edge[] = [];
    for (let edge: Edge | undefined = end.via; edge; edge = edge.previous?.via) {
      edges.unshift(edge);
    }
    return { cost: end.cost, edges };
  }

  private relax(
    nodes: Map<number, Node>,
    node: Node,
    boundary: number,
    boundaries: readonly number[],
    candidates: readonly Candidate[],
    req: PathRequest,
  ): void {
    for (const candidate of candidates) {
      const isUsed =
        candidate.from > boundary || candidate.to <= boundary || onPath(node, candidate);
      if (isUsed || (boundary === 0 && !candidate.mayBeFirstStage)) {
        continue;
      }
      for (const to of boundaries) {
        const need = req.reservedTokens * (to - boundary);
        if (to <= boundary || to > candidate.to || need > candidate.freeTokenLayers) {
          continue;
        }
        const cost = node.cost + this.edgeCost(candidate, to - boundary, need, node);
        if (cost < (nodes.get(to)?.cost ?? Number.POSITIVE_INFINITY)) {
          nodes.set(to, { cost, via: { candidate, to, cost, previous: node } });
        }
      }
    }
  }

  private edgeCost(candidate: Candidate, layers: number, need: number, node: Node): number {
    const previous = node.via?.candidate.endpoint;
    const left = Math.min(candidate.roomTokenLayers, candidate.freeTokenLayers - need);
    const used = 1 - left / Math.max(1, candidate.roomTokenLayers);
    const crosses = previous !== undefined && previous.dataCentre !== candidate.endpoint.dataCentre;
    return (
      partMs +
      (crosses ? crossingMs : 0) +
      candidate.waitMs +
      candidate.prefillMsPerLayer * layers +
      candidate.stepMsPerLayer * layers * weighedSteps +
      pressureMs * used * used
    );
  }

  private toPath(edges: readonly Edge[], req: PathRequest): LayerPath {
    let from = 0;
    const stages: PathStage[] = [];
    const reservations: Reservation[] = [];
    let firstEventMs = 0;
    const steps = this.engine.stepsPerPass;
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
        partMs + candidate.waitMs + prefillMs + candidate.stepMsPerLayer * count * steps * 2;
      from = to;
    }
    const dataCentres = stages.map(({ endpoint }) => endpoint.dataCentre);
    const crossings = dataCentres.filter(
      (dataCentre, index) => index > 0 && dataCentre !== dataCentres[index - 1],
    );
    return { stages, reservations, firstEventMs, crossings: crossings.length };
  }
}

function onPath(node: Node, candidate: Candidate): boolean {
  for (let edge = node.via; edge; edge = edge.previous?.via) {
    if (edge.candidate === candidate) {
      return true;
    }
  }
  return false;
}
