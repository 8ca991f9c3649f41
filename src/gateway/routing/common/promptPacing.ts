import { PromptPacingMode } from '../../../services/settings/common/settings.js';
import type { CardKind, EngineProfile, Route } from '../../config/common/configSnapshot.js';
import { emptyLoad } from './endpointLoad.js';
import { occupancyMsPerToken, stageWaitMs, transferMs } from './passModel.js';
import type { DelayWeight, IPathPacing, LayerPath } from './pathFinder.js';
import type { ReservationLedger } from './reservationLedger.js';

/** Size of a prompt relative to the others of its service. */
export enum PromptSize {
  /** At most the mean length. */
  Short = 'short',
  Medium = 'medium',
  /** Long enough to be held back for shorter ones. */
  Long = 'long',
}

/** Times of a request that bound how long it may be held back. */
export interface PacedRequestTimes {
  readonly promptTokens: number;
  /** Time of arrival, in monotonic milliseconds. */
  readonly arrivedMs: number;
  /** Latency objective for the first event, in milliseconds since the arrival. */
  readonly objectiveMs: number;
  /** Maximum time for which the request waits for a path, in milliseconds. */
  readonly maxWaitMs: number;
}

/** Part of the configuration on which pacing depends. */
export interface PacedService {
  readonly engine: EngineProfile;
  /** Routes that send streams to the service. */
  readonly routes: readonly Route[];
}

/**
 * Share of the time that a shorter prompt has to spare for which it may wait behind others where a long one
 * starts. The rest remains for the wait for capacity and for a second send.
 */
const waitShare = 0.5;

/** Share of this wait that the prefill of one long prompt takes at least. */
const longOccupancyShare = 0.25;

/**
 * Minimum length of a long prompt, relative to the mean. Prompts of about the mean length need each other's
 * places, so that holding some of them back would only reorder them.
 */
const minLongFactor = 1.5;

/**
 * Share of the time that a long prompt has to spare that it may be held back. The other half covers errors of
 * the estimate, and prompts that other gateways send meanwhile.
 */
const holdShare = 0.5;

/** Time after a shorter prompt within which others are expected, relative to the protected objective. */
const expectedShortsFactor = 2;

/** Mean prompt length that is assumed if the configuration names none, in tokens. */
const defaultMeanPromptTokens = 1_000;

/** Values that follow from the configuration of a service. */
interface PacingLimits {
  readonly isInEffect: boolean;
  readonly meanPromptTokens: number;
  readonly longFromTokens: number;
  /** Shortest objective of the routes, in milliseconds. */
  readonly protectedObjectiveMs: number;
  /** Time that a prompt with this objective may wait behind others, in milliseconds. */
  readonly allowedWaitMs: number;
}

/**
 * Decides for one model service which prompts are long, how many of their tokens may be in prefill at a stage
 * at once, and how long a long prompt is held back.
 *
 * The objective that is protected is the shortest of all routes to the service.
 */
export class PromptPacing implements IPathPacing {
  private cached: { readonly service: PacedService; readonly limits: PacingLimits } | undefined;

  /** Monotonic time of the last prompt of this gateway that is not long, by objective. */
  private readonly shorterAtMs = new Map<number, number>();

  /**
   * @param mode - Setting of the operator.
   * @param currentService - Returns the engine and the routes of the current configuration; the same objects
   *   as long as the configuration doesn't change.
   * @param ledger - Prompts in prefill at the endpoints.
   */
  constructor(
    private readonly mode: PromptPacingMode,
    private readonly currentService: () => PacedService,
    private readonly ledger: ReservationLedger,
  ) {}

  /** Whether prompts of the service are paced at present. */
  get isInEffect(): boolean {
    return this.limits.isInEffect;
  }

  /** Returns whether a prompt is long. */
  isLong(promptTokens: number): boolean {
    return promptTokens >= this.limits.longFromTokens;
  }

  /** Returns the size class of a prompt. */
  sizeOf(promptTokens: number): PromptSize {
    if (this.isLong(promptTokens)) {
      return PromptSize.Long;
    }
    return promptTokens <= this.limits.meanPromptTokens ? PromptSize.Short : PromptSize.Medium;
  }

  /**
   * Records a prompt of this gateway that is not long. Long prompts are only held back while such prompts are
   * expected.
   *
   * @param objectiveMs - Its latency objective, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordShorter(objectiveMs: number, nowMs: number): void {
    this.shorterAtMs.set(objectiveMs, nowMs);
  }

  /**
   * Returns how much a long prompt's own prefill counts as a delay to others at an endpoint.
   *
   * @param promptTokens - Tokens of the prompt.
   * @returns Function that gives the number of shorter prompts in prefill from the load of an endpoint; undefined
   *   if the prompt isn't long.
   */
  delayWeightOf(promptTokens: number): DelayWeight | undefined {
    if (!this.isLong(promptTokens)) {
      return undefined;
    }
    const { meanPromptTokens } = this.limits;
    return ({ promptTokens: queued = 0, longPromptTokens: longQueued = 0 }) =>
      Math.max(0, queued - longQueued) / meanPromptTokens;
  }

  /**
   * Finds the stage at which a long prompt has to wait for others.
   *
   * @param path - Path on which the prompt would run.
   * @param req - The prompt and its objective.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Address of the first stage whose long prompts leave no room for another one; undefined if it may
   *   start, also because no shorter prompts are expected.
   */
  findBusyStage(path: LayerPath, req: PacedRequestTimes, nowMs: number): string | undefined {
    const areShorterExpected = this.areShorterExpected(req.objectiveMs, nowMs);
    const busy = path.reservations.find(({ address, prefillMs }, index) => {
      const { promptTokens = 0, longPromptTokens = 0 } = this.ledger.loadAt(address);
      const hasShorter = promptTokens > longPromptTokens && this.isDeferrable(req.objectiveMs);
      return (
        longPromptTokens > 0 && // a long prompt alone may always start, however long it is
        (areShorterExpected || hasShorter) &&
        this.queueMs(path, index) + prefillMs > this.limits.allowedWaitMs
      );
    });
    return busy?.address;
  }

  /**
   * Returns the time up to which a long prompt may be held back. The longer its path takes by now, the earlier
   * it has to start.
   *
   * @param path - Path on which the prompt would run now.
   * @param req - The prompt, its objective and its maximum wait.
   * @returns Monotonic time, in milliseconds.
   */
  latestStartMs(path: LayerPath, req: PacedRequestTimes): number {
    const limitMs = Math.min(req.objectiveMs, req.maxWaitMs);
    return req.arrivedMs + Math.max(0, holdShare * (limitMs - this.expectedMs(path)));
  }

  /**
   * Returns the expected time to the first event on a path, in milliseconds. A prompt waits once for those
   * before it, at the slowest stage, since they move on together.
   */
  private expectedMs(path: LayerPath): number {
    const queuesMs = path.reservations.map((_, index) => this.queueMs(path, index));
    const prefillsMs = path.reservations.map(({ prefillMs }) => prefillMs);
    return Math.max(...queuesMs) + prefillsMs.reduce((total, prefillMs) => total + prefillMs, 0);
  }

  /**
   * Returns the time that the prompts in prefill at a stage, or those that use the link, take there.
   *
   * @param path - The path.
   * @param index - Index of the reservation; the one after those of the stages is the link's.
   */
  private queueMs(path: LayerPath, index: number): number {
    const { engine } = this.currentService();
    const load = this.ledger.loadAt(path.reservations[index].address);
    if (index >= path.stages.length) {
      return transferMs(engine, load.promptTokens ?? 0);
    }
    const { endpoint, from, to } = path.stages[index];
    const card = engine.cards.get(endpoint.card ?? '');
    return card === undefined ? 0 : stageWaitMs(engine, { card, layers: to - from, load });
  }

  /** Whether prompts that are at least as pressed for time recently reached this gateway. */
  private areShorterExpected(objectiveMs: number, nowMs: number): boolean {
    const sinceMs = nowMs - expectedShortsFactor * this.limits.protectedObjectiveMs;
    return [...this.shorterAtMs].some(
      ([shorterObjectiveMs, atMs]) => shorterObjectiveMs <= objectiveMs && atMs >= sinceMs,
    );
  }

  /** Whether requests with this objective may yield to prompts of other gateways, whose objective is unknown. */
  private isDeferrable(objectiveMs: number): boolean {
    return objectiveMs > this.limits.protectedObjectiveMs;
  }

  private get limits(): PacingLimits {
    const service = this.currentService();
    const { cached } = this;
    if (
      cached &&
      cached.service.engine === service.engine &&
      cached.service.routes === service.routes
    ) {
      return cached.limits;
    }
    const limits = toLimits(this.mode, service);
    this.cached = { service, limits };
    this.shorterAtMs.clear();
    return limits;
  }
}

function toLimits(mode: PromptPacingMode, { engine, routes }: PacedService): PacingLimits {
  const objectives = routes.map(({ objectiveMs }) => objectiveMs);
  const protectedObjectiveMs = Math.max(1, Math.min(...objectives));
  const differ =
    new Set(objectives).size > 1 || new Set(routes.map(({ priority }) => priority)).size > 1;
  const meanPromptTokens = Math.max(1, engine.meanPromptTokens ?? defaultMeanPromptTokens);
  const msPerToken = meanOccupancyMsPerToken(engine);
  const allowedWaitMs =
    waitShare * Math.max(0, protectedObjectiveMs - meanPromptTokens * msPerToken);
  return {
    isInEffect:
      routes.length > 0 &&
      (mode === PromptPacingMode.On || (mode === PromptPacingMode.Auto && differ)),
    meanPromptTokens,
    protectedObjectiveMs,
    allowedWaitMs,
    longFromTokens: Math.max(
      minLongFactor * meanPromptTokens,
      engine.chunkTokens ?? 0,
      (longOccupancyShare * allowedWaitMs) / msPerToken,
    ),
  };
}

/** Time that each prompt token occupies all layers if they are spread over the kinds of cards evenly. */
function meanOccupancyMsPerToken(engine: EngineProfile): number {
  const cards: readonly CardKind[] = [...engine.cards.values()];
  const load = { ...emptyLoad(), requests: 1 };
  const total = cards.reduce(
    (sum, card) => sum + occupancyMsPerToken(engine, { card, layers: engine.layerCount, load }),
    0,
  );
  return total / Math.max(1, cards.length);
}
