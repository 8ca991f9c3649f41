import type { IClock, ITimers } from '../../../base/common/clock.js';
import type { IRandom } from '../../../base/common/random.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { PromptPacingMode } from '../../../services/settings/common/settings.js';
import type { ConfigHolder } from '../../config/common/configHolder.js';
import { RouteKind, type EngineProfile, type Route } from '../../config/common/configSnapshot.js';
import { incarnationOf } from '../../directory/common/endpoint.js';
import type { EndpointDirectory } from '../../directory/common/endpointDirectory.js';
import type { LayerCheck } from '../../directory/common/layerCheck.js';
import { CrossDataCentreBudget } from '../../routing/common/crossDataCentreBudget.js';
import type { EndpointEjections } from '../../routing/common/endpointEjections.js';
import { PathFinder } from '../../routing/common/pathFinder.js';
import { PromptPacing } from '../../routing/common/promptPacing.js';
import type { ReservationLedger } from '../../routing/common/reservationLedger.js';
import { ServiceCapacity } from '../../routing/common/serviceCapacity.js';
import type { DemandSummary } from '../../scheduling/common/demandSummary.js';
import {
  ServiceScheduler,
  type SchedulingDecision,
} from '../../scheduling/common/serviceScheduler.js';
import type { ISendPermission } from '../../signals/common/endpointSignals.js';
import { ModelAdmission } from './modelAdmission.js';
import { PacedAdmission, type HeldPrompt } from './pacedAdmission.js';

/** What the admission queues depend on. */
export interface ModelAdmissionsDependencies {
  readonly config: ConfigHolder;
  readonly directory: EndpointDirectory;
  readonly layerCheck: LayerCheck;
  readonly permission: ISendPermission;
  /** Endpoints that keep failing. */
  readonly ejections: EndpointEjections;
  readonly ledger: ReservationLedger;
  /** Returns the number of gateways that share the links between data centres. */
  readonly gatewayCount: () => number;
  readonly random: IRandom;
  /** Called with each decision about a request that has an urgency. */
  readonly onDidDecide: (decision: SchedulingDecision) => void;
  readonly pacingMode: PromptPacingMode;
  /** Called with each long prompt that was held back. */
  readonly onDidHoldPrompt: (prompt: HeldPrompt) => void;
  readonly clock: IClock & ITimers;
  readonly logger: ILogger;
}

/** Admission queue of a service, and what holds back its long prompts. */
interface ServiceAdmission {
  readonly admission: ModelAdmission;
  readonly paced: PacedAdmission;
}

/** Admission queues of all model services. */
export class ModelAdmissions {
  private readonly admissions = new Map<string, ServiceAdmission>();

  /** Routes of streams by service, of the configuration `routesOf`. */
  private readonly streamRoutes = new Map<string, readonly Route[]>();

  private routesOf: readonly Route[] | undefined;

  private readonly schedulers = new Map<string, ServiceScheduler>();

  /** @param dependencies - Shared objects. */
  constructor(private readonly dependencies: ModelAdmissionsDependencies) {}

  /**
   * Returns the queue of a service.
   *
   * @param service - Name of the service.
   * @param engine - Its engine profile, used while the configuration has none.
   */
  of(service: string, engine: EngineProfile): ModelAdmission {
    const existing = this.admissions.get(service) ?? this.create(service, engine);
    return existing.admission;
  }

  /**
   * Returns the admission that holds long prompts of a service back.
   *
   * @param service - Name of the service.
   * @param engine - Its engine profile, used while the configuration has none.
   */
  pacedOf(service: string, engine: EngineProfile): PacedAdmission {
    const existing = this.admissions.get(service) ?? this.create(service, engine);
    return existing.paced;
  }

  /** Records that endpoints refused requests of a peer for lack of capacity. */
  recordPeerRefusals(addresses: readonly string[]): void {
    this.admissions.forEach(({ admission }) =>
      addresses.forEach((address) => admission.recordRefusal(address, false)),
    );
  }

  /** Returns what peers have to know of the demand for the services. */
  createSummaries(): readonly DemandSummary[] {
    return [...this.schedulers.values()].flatMap((scheduler) => scheduler.createSummary() ?? []);
  }

  /**
   * Takes over what a peer tells of its demand for the services.
   *
   * @param peer - Name of the peer.
   * @param summaries - Its summaries; a service without one isn't short of capacity.
   */
  handleSummaries(peer: string, summaries: readonly DemandSummary[]): void {
    this.schedulers.forEach((scheduler, service) =>
      scheduler.handleSummary(
        peer,
        summaries.find((summary) => summary.service === service),
      ),
    );
  }

  /** Returns the demand for each service at this gateway. */
  ownDemand(): readonly DemandSummary[] {
    return [...this.schedulers.values()].map((scheduler) => scheduler.ownSummary());
  }

  /** Refuses all waiting requests and stops the timers. */
  close(): void {
    this.admissions.forEach(({ admission, paced }) => {
      paced.close();
      admission.close();
    });
  }

  private create(service: string, engine: EngineProfile): ServiceAdmission {
    const { config, directory, layerCheck, permission, ejections, ledger, gatewayCount, clock } =
      this.dependencies;
    const { pacingMode, onDidHoldPrompt, logger } = this.dependencies;
    const currentEngine = () => config.current?.config.services.get(service)?.engine ?? engine;
    const scheduler = new ServiceScheduler(
      service,
      new ServiceCapacity(() => directory.findUsable(service), currentEngine, ledger),
      this.dependencies.random,
      clock,
      this.dependencies.onDidDecide,
    );
    this.schedulers.set(service, scheduler);
    const pacing = new PromptPacing(
      pacingMode,
      () => ({ engine: currentEngine(), routes: this.streamRoutesTo(service) }),
      ledger,
    );
    const admission = new ModelAdmission(
      new PathFinder(currentEngine, ledger, pacing),
      {
        usable: () => layerCheck.filter(directory.findUsable(service), currentEngine()),
        accepting: () => layerCheck.filter(directory.findAccepting(service), currentEngine()),
        isConfirmed: (endpoint) => directory.isConfirmed(endpoint),
        isFailing: (endpoint) => ejections.isEjected(incarnationOf(endpoint)),
      },
      permission,
      ledger,
      new CrossDataCentreBudget(currentEngine, gatewayCount, clock),
      clock,
      scheduler,
    );
    const paced = new PacedAdmission(
      admission,
      pacing,
      (prompt) => {
        const { requestId: request, promptTokens, heldMs, address, isOutOfTime } = prompt;
        logger.log(LogLevel.Info, 'prompt-held', {
          request,
          service,
          promptTokens,
          heldMs: Math.round(heldMs),
          address,
          isOutOfTime,
        });
        onDidHoldPrompt(prompt);
      },
      clock,
    );
    const created = { admission, paced };
    this.admissions.set(service, created);
    return created;
  }

  /** Returns the routes that send streams to a service; the same array until the configuration changes. */
  private streamRoutesTo(service: string): readonly Route[] {
    const routes = this.dependencies.config.current?.config.routes ?? [];
    if (this.routesOf !== routes) {
      this.routesOf = routes;
      this.streamRoutes.clear();
    }
    const known = this.streamRoutes.get(service);
    if (known) {
      return known;
    }
    const found = routes.filter(
      ({ kind, targets }) =>
        kind === RouteKind.Stream && targets.some((target) => target.service === service),
    );
    this.streamRoutes.set(service, found);
    return found;
  }
}
