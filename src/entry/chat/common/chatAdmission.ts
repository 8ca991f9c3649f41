import type { IClock } from '../../../base/common/clock.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import {
  problem,
  ProblemKind,
  RunState,
  type Problem,
} from '../../../services/problem/common/problem.js';
import type { Agreement } from '../../../services/rules/common/agreement.js';
import { chainSlots, servesModel } from '../../fleet/common/endpointView.js';
import type { IFleet } from '../../fleet/common/fleet.js';
import type { IChainRouter, Route } from '../../routing/common/chainRouter.js';
import type { PrefixDirectory } from '../../routing/common/prefixDirectory.js';
import { SlotLimits } from '../../shares/common/slotLimits.js';
import { FairQueue } from '../../shares/common/fairQueue.js';
import type { ChatRequest } from './chatRequest.js';

/** A request that waits for a chain. */
export interface ChainWaiter {
  readonly request: ChatRequest;
  /** Returns the endpoints that this request must not use now. */
  avoid(): ReadonlySet<string>;
  /** Called with the chain; its endpoints count as loaded until `release`. */
  admitted(route: Route): void;
  /** Called if no chain will be given. */
  refused(problem: Problem): void;
}

/** Limits of the admission. */
export interface ChatAdmissionOptions {
  readonly dataCentre: string;
  /** Most requests that wait for one model. */
  readonly queueLimit: number;
  /** Time that a request waits for a model that no chain serves, in milliseconds. */
  readonly unservedTimeoutMs: number;
  /** True to serve organisations by their weights, false in the order of arrival. */
  readonly fair: boolean;
}

interface ModelQueue {
  readonly queue: FairQueue<ChainWaiter>;
  readonly slots: SlotLimits;
  /** Since when no chain could serve the model even if idle, in monotonic milliseconds. */
  unservedSinceMs: number | undefined;
  /** Smoothed time between two admissions, in milliseconds. */
  admitIntervalMs: number;
  lastAdmitMs: number;
}

/** Weight of the newest sample in the smoothed admission interval. */
const smoothing = 0.1;

/** Shortest time that a refused caller is told to wait, in seconds. */
const minRetryAfterSeconds = 1;

/** Longest time that a refused caller is told to wait, in seconds. */
const maxRetryAfterSeconds = 60;

function clampSeconds(ms: number): number {
  const seconds = Math.ceil(ms / 1_000);
  return Math.min(maxRetryAfterSeconds, Math.max(minRetryAfterSeconds, seconds));
}

/** Lets requests wait for a chain, in the order of their organisations' shares. */
export class ChatAdmission {
  private readonly queues = new Map<string, ModelQueue>();

  private pumping = false;

  /**
   * @param options - Limits.
   * @param fleet - The endpoints.
   * @param router - Chooses chains.
   * @param prefixes - Tells which endpoints hold which prompt prefixes.
   * @param agreement - Returns the rules in force.
   * @param clock - Source of time.
   * @param logger - Receives the decisions.
   */
  constructor(
    private readonly options: ChatAdmissionOptions,
    private readonly fleet: IFleet,
    private readonly router: IChainRouter,
    private readonly prefixes: PrefixDirectory,
    private readonly agreement: () => Agreement,
    private readonly clock: IClock,
    private readonly logger: ILogger,
  ) {}

  /** Number of waiting requests. */
  get waiting(): number {
    return [...this.queues.values()].reduce((sum, { queue }) => sum + queue.size, 0);
  }

  /**
   * Lets a request wait for a chain, or refuses it at once if it cannot be served in time.
   *
   * @param waiter - The request; called back now or later.
   * @param first - True for an answer under way whose chain broke.
   */
  enqueue(waiter: ChainWaiter, first = false): void {
    const { request } = waiter;
    const entry = this.queueOf(request.model.name);
    const refusal = first ? undefined : this.refusalOf(entry, request);
    if (refusal) {
      waiter.refused(refusal);
      return;
    }
    entry.queue.push(
      {
        flow: this.options.fair ? request.organisation : '',
        value: waiter,
        cost: request.maxTokens + request.prompt.length / 20,
        priority: request.priority,
      },
      first,
    );
    this.admitWaiting();
  }

  /**
   * Takes a request back that no longer waits.
   *
   * @param waiter - The request.
   */
  withdraw(waiter: ChainWaiter): void {
    this.queues.get(waiter.request.model.name)?.queue.remove(waiter);
  }

  /**
   * Frees the endpoints of a chain.
   *
   * @param request - The request that held them.
   * @param route - The chain.
   */
  release(request: ChatRequest, route: Route): void {
    this.queueOf(request.model.name).slots.add(request.organisation, -1);
    route.chain.forEach((stage) => this.fleet.addActive(stage.endpoint, -1));
    this.admitWaiting();
  }

  /** Admits what can be admitted; call this whenever endpoints changed. */
  admitWaiting(): void {
    if (this.pumping) {
      return;
    }
    this.pumping = true;
    for (const entry of this.queues.values()) {
      this.pumpModel(entry);
    }
    this.pumping = false;
  }

  /** Refuses requests of models that stay unserved; call this a few times a second. */
  refuseTimedOut(): void {
    const nowMs = this.clock.monotonicMs();
    for (const [model, entry] of this.queues) {
      this.refuseExpired(entry, nowMs);
      if (this.isServed(model) || entry.queue.size === 0) {
        entry.unservedSinceMs = undefined;
        continue;
      }
      entry.unservedSinceMs ??= nowMs;
      if (nowMs - entry.unservedSinceMs >= this.options.unservedTimeoutMs) {
        this.refuseAll(model, entry);
      }
    }
    this.admitWaiting();
  }

  private queueOf(model: string): ModelQueue {
    const known = this.queues.get(model);
    if (known) {
      return known;
    }
    const created: ModelQueue = {
      queue: new FairQueue<ChainWaiter>((flow) => this.weightOf(flow, model)),
      slots: new SlotLimits(),
      unservedSinceMs: undefined,
      admitIntervalMs: 0,
      lastAdmitMs: this.clock.monotonicMs(),
    };
    this.queues.set(model, created);
    return created;
  }

  private weightOf(flow: string, model: string): number {
    return this.agreement().termsOf(flow, model, this.options.dataCentre).weight;
  }

  private refusalOf(entry: ModelQueue, request: ChatRequest): Problem | undefined {
    const waitMs = entry.queue.size * entry.admitIntervalMs;
    if (entry.queue.size >= this.options.queueLimit) {
      const options = { retryAfterSeconds: clampSeconds(waitMs) };
      const detail = `${entry.queue.size} requests wait for model ${request.model.name}`;
      return problem(ProblemKind.Overloaded, RunState.NotRun, detail, options);
    }
    const leftMs = request.deadlineMs - this.clock.monotonicMs();
    if (waitMs > leftMs) {
      const options = { retryAfterSeconds: clampSeconds(waitMs - leftMs) };
      const detail = `the expected wait of ${Math.round(waitMs)} ms exceeds the deadline`;
      return problem(ProblemKind.Overloaded, RunState.NotRun, detail, options);
    }
    return undefined;
  }

  private pumpModel(entry: ModelQueue): void {
    if (entry.queue.size === 0) {
      return;
    }
    let route: Route | undefined;
    const mayRun = this.limitOf(entry);
    const accept = (waiter: ChainWaiter) => {
      route = mayRun(waiter.request) ? this.routeOf(waiter) : undefined;
      return route !== undefined;
    };
    for (;;) {
      const waiter = entry.queue.size > 0 ? entry.queue.pop(accept) : undefined;
      if (waiter === undefined || route === undefined) {
        return;
      }
      this.admit(entry, waiter, route);
    }
  }

  /** Returns the check of ceilings and reservations for one round of admissions. */
  private limitOf(entry: ModelQueue): (request: ChatRequest) => boolean {
    const { dataCentre } = this.options;
    const rules = this.agreement();
    return ({ organisation, model }) => {
      const all = rules.allTerms(model.name, dataCentre);
      const reservations = [...all]
        .filter(([, terms]) => !terms.lend)
        .map(([name, terms]) => ({ organisation: name, terms }));
      const terms = rules.termsOf(organisation, model.name, dataCentre);
      const isUnlimited = terms.lend && terms.ceiling === 1 && reservations.length === 0;
      if (isUnlimited) {
        return true;
      }
      const weight = [...all.values()].reduce((sum, one) => sum + one.weight, 0);
      const slots = chainSlots(this.fleet.endpoints(), model.name);
      return entry.slots.mayRun(organisation, terms, slots, reservations, weight);
    };
  }

  private routeOf(waiter: ChainWaiter): Route | undefined {
    const { request } = waiter;
    return this.router.route(
      {
        model: request.model,
        dataCentre: this.options.dataCentre,
        promptLength: request.prompt.length,
        maxTokens: request.maxTokens,
        avoid: waiter.avoid(),
        holdsPrefix: (endpoint) => this.prefixes.holds(endpoint, request.prompt),
      },
      this.fleet.endpoints(),
    );
  }

  private admit(entry: ModelQueue, waiter: ChainWaiter, route: Route): void {
    const nowMs = this.clock.monotonicMs();
    const sampleMs = entry.queue.size > 0 ? nowMs - entry.lastAdmitMs : 0;
    Object.assign(entry, {
      admitIntervalMs: entry.admitIntervalMs * (1 - smoothing) + sampleMs * smoothing,
      lastAdmitMs: nowMs,
    });
    entry.slots.add(waiter.request.organisation, 1);
    for (const stage of route.chain) {
      this.fleet.addActive(stage.endpoint, 1);
      this.prefixes.add(stage.endpoint, waiter.request.prompt);
    }
    this.logger.log(LogLevel.Info, 'route', {
      request: waiter.request.id,
      organisation: waiter.request.organisation,
      model: waiter.request.model.name,
      chain: route.chain.map((stage) => stage.endpoint).join(','),
      expectedMs: Math.round(route.expectedMs),
      prefixHits: route.prefixHits,
      considered: route.considered,
      avoided: waiter.avoid().size,
      waiting: entry.queue.size,
      revision: waiter.request.revision,
    });
    waiter.admitted(route);
  }

  private isServed(model: string): boolean {
    return this.fleet.endpoints().some((view) => servesModel(view, model) && view.connected);
  }

  private refuseExpired(entry: ModelQueue, nowMs: number): void {
    const detail = 'the deadline passed in the queue';
    const refusal = problem(ProblemKind.DeadlineExceeded, RunState.NotRun, detail);
    entry.queue
      .removeWhere((waiter) => waiter.request.deadlineMs <= nowMs)
      .forEach((waiter) => waiter.refused(refusal));
  }

  private refuseAll(model: string, entry: ModelQueue): void {
    const detail = `no endpoint serves model ${model}`;
    const options = { retryAfterSeconds: clampSeconds(this.options.unservedTimeoutMs) };
    const refusal = problem(ProblemKind.NoEndpoint, RunState.NotRun, detail, options);
    entry.queue.removeWhere(() => true).forEach((waiter) => waiter.refused(refusal));
  }
}
