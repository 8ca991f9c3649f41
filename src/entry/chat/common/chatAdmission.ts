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
import { FairQueue } from '../../../services/shares/common/fairQueue.js';
import type { ChatRequest } from './chatRequest.js';

/** Request for a chain, with callbacks that report whether it was admitted. */
export interface QueuedRequest {
  readonly request: ChatRequest;
  /** Returns the endpoints that this request must not use now. */
  avoidedEndpoints(): ReadonlySet<string>;
  /** Called with the assigned chain; its endpoints count the request as active until `release`. */
  onAdmitted(route: Route): void;
  /** Called if the request will not get a chain. */
  onRefused(problem: Problem): void;
}

/** Limits and order of chat admission. */
export interface ChatAdmissionOptions {
  readonly dataCentre: string;
  /** Maximum number of requests that wait for one model. */
  readonly queueLimit: number;
  /** Time that a request waits for a model that no connected endpoint serves, in milliseconds. */
  readonly unservedTimeoutMs: number;
  /** True to serve organisations by their weights, false to serve in the order of arrival. */
  readonly fair: boolean;
}

interface ModelQueue {
  readonly queue: FairQueue<QueuedRequest>;
  readonly slots: SlotLimits;
  /** Monotonic time since which no connected endpoint, busy or idle, serves the model, in ms. */
  unservedSinceMs: number | undefined;
  /** Moving average of the time between two admissions, in milliseconds. */
  admitIntervalMs: number;
  lastAdmitMs: number;
}

/** Weight of the newest sample in the moving average of the admission interval. */
const newestSampleWeight = 0.1;

/** Lower limit of the `Retry-After` of a refusal, in seconds. */
const minRetryAfterSeconds = 1;

/** Upper limit of the `Retry-After` of a refusal, in seconds. */
const maxRetryAfterSeconds = 60;

function toRetryAfterSeconds(waitMs: number): number {
  const seconds = Math.ceil(waitMs / 1_000);
  return Math.min(maxRetryAfterSeconds, Math.max(minRetryAfterSeconds, seconds));
}

/** Queues requests for chains and admits them in weighted fair order of their organisations. */
export class ChatAdmission {
  private readonly queues = new Map<string, ModelQueue>();

  private isAdmitting = false;

  /**
   * @param options - Limits and order.
   * @param fleet - The endpoints.
   * @param router - Chooses chains.
   * @param prefixes - Records which endpoints hold which prompt prefixes.
   * @param agreement - Returns the rules in force.
   * @param clock - Source of time.
   * @param logger - Logs the chain of each admitted request.
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
   * Queues a request for a chain, or refuses it at once if the queue is full or the expected wait
   * exceeds its deadline.
   *
   * @param queued - The request; its callbacks are called now or later.
   * @param isResumed - True for an answer in progress whose chain broke; it is never refused here
   * and goes ahead of the requests with the same priority in its flow.
   */
  enqueue(queued: QueuedRequest, isResumed = false): void {
    const { request } = queued;
    const modelQueue = this.queueOf(request.model.name);
    const refusal = isResumed ? undefined : this.refusalOf(modelQueue, request);
    if (refusal) {
      queued.onRefused(refusal);
      return;
    }
    modelQueue.queue.push(
      {
        flow: this.options.fair ? request.organisation : '',
        value: queued,
        cost: request.maxTokens + request.prompt.length / 20,
        priority: request.priority,
      },
      isResumed,
    );
    this.admitWaiting();
  }

  /**
   * Removes a request that no longer needs a chain.
   *
   * @param queued - The request.
   */
  remove(queued: QueuedRequest): void {
    this.queues.get(queued.request.model.name)?.queue.remove(queued);
  }

  /**
   * Releases the endpoints of a chain.
   *
   * @param request - The request that used them.
   * @param route - The chain.
   */
  release(request: ChatRequest, route: Route): void {
    this.queueOf(request.model.name).slots.add(request.organisation, -1);
    route.chain.forEach((stage) => this.fleet.addActive(stage.endpoint, -1));
    this.admitWaiting();
  }

  /** Admits the waiting requests that can run now; call this whenever endpoints changed. */
  admitWaiting(): void {
    if (this.isAdmitting) {
      return;
    }
    this.isAdmitting = true;
    for (const modelQueue of this.queues.values()) {
      this.admitFromQueue(modelQueue);
    }
    this.isAdmitting = false;
  }

  /**
   * Refuses requests past their deadline and those of models that were unserved for
   * `unservedTimeoutMs`, then admits waiting ones; call this a few times a second.
   */
  refuseTimedOut(): void {
    const nowMs = this.clock.monotonicMs();
    for (const [model, modelQueue] of this.queues) {
      this.refuseExpired(modelQueue, nowMs);
      if (this.isServed(model) || modelQueue.queue.size === 0) {
        modelQueue.unservedSinceMs = undefined;
        continue;
      }
      modelQueue.unservedSinceMs ??= nowMs;
      if (nowMs - modelQueue.unservedSinceMs >= this.options.unservedTimeoutMs) {
        this.refuseAll(model, modelQueue);
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
      queue: new FairQueue<QueuedRequest>((flow) => this.weightOf(flow, model)),
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

  private refusalOf(modelQueue: ModelQueue, request: ChatRequest): Problem | undefined {
    const waitMs = modelQueue.queue.size * modelQueue.admitIntervalMs;
    if (modelQueue.queue.size >= this.options.queueLimit) {
      const options = { retryAfterSeconds: toRetryAfterSeconds(waitMs) };
      const detail = `${modelQueue.queue.size} requests wait for model ${request.model.name}`;
      return problem(ProblemKind.Overloaded, RunState.NotRun, detail, options);
    }
    const remainingMs = request.deadlineMs - this.clock.monotonicMs();
    if (waitMs > remainingMs) {
      const options = { retryAfterSeconds: toRetryAfterSeconds(waitMs - remainingMs) };
      const detail = `the expected wait of ${Math.round(waitMs)} ms exceeds the deadline`;
      return problem(ProblemKind.Overloaded, RunState.NotRun, detail, options);
    }
    return undefined;
  }

  private admitFromQueue(modelQueue: ModelQueue): void {
    if (modelQueue.queue.size === 0) {
      return;
    }
    let route: Route | undefined;
    const mayRun = this.createLimitCheck(modelQueue);
    const accept = (queued: QueuedRequest) => {
      route = mayRun(queued.request) ? this.routeOf(queued) : undefined;
      return route !== undefined;
    };
    for (;;) {
      const queued = modelQueue.queue.size > 0 ? modelQueue.queue.pop(accept) : undefined;
      if (queued === undefined || route === undefined) {
        return;
      }
      this.admit(modelQueue, queued, route);
    }
  }

  /** Creates the function that checks ceilings and reservations in one round of admissions. */
  private createLimitCheck(modelQueue: ModelQueue): (request: ChatRequest) => boolean {
    const { dataCentre } = this.options;
    const rules = this.agreement();
    return ({ organisation, model }) => {
      const allTerms = rules.allTerms(model.name, dataCentre);
      const reservations = [...allTerms]
        .filter(([, terms]) => !terms.lend)
        .map(([name, terms]) => ({ organisation: name, terms }));
      const terms = rules.termsOf(organisation, model.name, dataCentre);
      const isUnlimited = terms.lend && terms.ceiling === 1 && reservations.length === 0;
      if (isUnlimited) {
        return true;
      }
      const weight = [...allTerms.values()].reduce((sum, one) => sum + one.weight, 0);
      const slots = chainSlots(this.fleet.endpoints(), model.name);
      return modelQueue.slots.mayRun(organisation, terms, slots, reservations, weight);
    };
  }

  private routeOf(queued: QueuedRequest): Route | undefined {
    const { request } = queued;
    return this.router.route(
      {
        model: request.model,
        dataCentre: this.options.dataCentre,
        promptLength: request.prompt.length,
        maxTokens: request.maxTokens,
        avoidedEndpoints: queued.avoidedEndpoints(),
        holdsPrefix: (endpoint) => this.prefixes.holds(endpoint, request.prompt),
      },
      this.fleet.endpoints(),
    );
  }

  private admit(modelQueue: ModelQueue, queued: QueuedRequest, route: Route): void {
    const nowMs = this.clock.monotonicMs();
    const sampleMs = modelQueue.queue.size > 0 ? nowMs - modelQueue.lastAdmitMs : 0;
    Object.assign(modelQueue, {
      admitIntervalMs:
        modelQueue.admitIntervalMs * (1 - newestSampleWeight) + sampleMs * newestSampleWeight,
      lastAdmitMs: nowMs,
    });
    modelQueue.slots.add(queued.request.organisation, 1);
    for (const stage of route.chain) {
      this.fleet.addActive(stage.endpoint, 1);
      this.prefixes.recordPrompt(stage.endpoint, queued.request.prompt);
    }
    this.logger.log(LogLevel.Info, 'route', {
      request: queued.request.id,
      organisation: queued.request.organisation,
      model: queued.request.model.name,
      chain: route.chain.map((stage) => stage.endpoint).join(','),
      expectedMs: Math.round(route.expectedMs),
      prefixHits: route.prefixHits,
      considered: route.considered,
      avoided: queued.avoidedEndpoints().size,
      waiting: modelQueue.queue.size,
      revision: queued.request.revision,
    });
    queued.onAdmitted(route);
  }

  private isServed(model: string): boolean {
    return this.fleet.endpoints().some((view) => servesModel(view, model) && view.connected);
  }

  private refuseExpired(modelQueue: ModelQueue, nowMs: number): void {
    const detail = 'the deadline passed in the queue';
    const refusal = problem(ProblemKind.DeadlineExceeded, RunState.NotRun, detail);
    modelQueue.queue
      .removeWhere((queued) => queued.request.deadlineMs <= nowMs)
      .forEach((queued) => queued.onRefused(refusal));
  }

  private refuseAll(model: string, modelQueue: ModelQueue): void {
    const detail = `no endpoint serves model ${model}`;
    const options = { retryAfterSeconds: toRetryAfterSeconds(this.options.unservedTimeoutMs) };
    const refusal = problem(ProblemKind.NoEndpoint, RunState.NotRun, detail, options);
    modelQueue.queue.removeWhere(() => true).forEach((queued) => queued.onRefused(refusal));
  }
}
