import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { LeaseCandidate } from '../../../services/lease/common/lease.js';
import { MessageKind } from '../../../services/link/common/messages.js';
import { formatRange, type ModelSpec } from '../../../services/model/common/model.js';
import { eraOf } from '../../../services/objects/common/eraTracker.js';
import {
  absentVersion,
  ObjectKind,
  type IObjectStore,
  type StoredObject,
} from '../../../services/objects/common/objects.js';
import { sameRange, type EndpointView } from '../../fleet/common/endpointView.js';
import type { IFleet } from '../../fleet/common/fleet.js';
import {
  planPlacement,
  type Placement,
  type PlacementDemand,
  type PlannedChain,
  type PlannedStage,
} from '../common/layerPlanner.js';

/** Placement of one model in one region, as stored in the platform. */
export interface PlacementRecord {
  readonly model: string;
  /** Fencing token of the placer that wrote the record. */
  readonly term: number;
  readonly chains: readonly PlannedChain[];
}

/** Stored model: its specification and the desired number of chains. */
export interface ModelRecord extends ModelSpec {
  readonly replicas: number;
}

/** How long a lost endpoint stays assigned to its chain, in milliseconds. */
const lostEndpointGraceMs = 2_000;

/** Assigns layers to the endpoints of a region while this entry holds the region's lease. */
export class Placer {
  private lastTerm: number | undefined;

  private records = new Map<string, StoredObject<PlacementRecord>>();

  /** Number of records that were written again because the store had forgotten them. */
  restored = 0;

  /** Names of the records that must be written again. */
  private readonly forgottenRecords = new Set<string>();

  /** Highest token that each agent knew when it last refused an order, by incarnation. */
  private readonly refusals = new Map<string, number>();

  /** Whether an agent knows a higher token than that of the current term. */
  private isFenced = false;

  private readonly lastAvailableMs = new Map<string, number>();

  private isStepping = false;

  /**
   * @param region - Region to whose endpoints layers are assigned.
   * @param lease - Lease that allows one entry at a time to place layers in the region.
   * @param store - Holds the placement records.
   * @param fleet - Endpoints that this entry can reach.
   * @param models - Returns the models to place.
   * @param logger - Receives lease and placement events.
   */
  constructor(
    private readonly region: string,
    private readonly lease: LeaseCandidate,
    private readonly store: IObjectStore,
    private readonly fleet: IFleet,
    private readonly models: () => readonly ModelRecord[],
    private readonly logger: ILogger,
  ) {
    fleet.onDidReceive(({ incarnation, message }) => {
      if (message.kind === MessageKind.OrderResult && !message.accepted) {
        this.refusals.set(incarnation, message.highestTerm);
      }
    });
  }

  /**
   * Renews the lease and, while it is held, updates the placement and sends orders to endpoints.
   * Does nothing while an earlier call is still running.
   *
   * @param nowMs - Current monotonic time, in milliseconds.
   */
  async step(nowMs: number): Promise<void> {
    if (this.isStepping) {
      return;
    }
    this.isStepping = true;
    try {
      await this.lease.acquireOrRenew();
      const term = this.lease.fencingToken();
      if (term !== undefined && (await this.prepareTerm(term))) {
        await this.updatePlacement(term, nowMs);
      }
    } finally {
      this.isStepping = false;
    }
  }

  /**
   * Reads the placements that earlier lease holders stored, once at the start of each term.
   *
   * @returns False if the placements could not be read.
   */
  private async prepareTerm(term: number): Promise<boolean> {
    if (this.lastTerm === term) {
      return true;
    }
    const list = await this.store.list<PlacementRecord>(ObjectKind.Placements);
    if (list.isErr()) {
      return false;
    }
    const known = [...this.records.values()];
    this.records = new Map(list.value.map((object) => [object.name, object]));
    known.forEach((record) => this.keepIfForgotten(record));
    this.lastTerm = term;
    this.logger.log(LogLevel.Info, 'lease-held', { region: this.region, term });
    return true;
  }

  /** Keeps a known record that the store lacks since it came back from an older copy. */
  private keepIfForgotten(known: StoredObject<PlacementRecord>): void {
    const { name, value } = known;
    const stored = this.records.get(name);
    const isSameEra = stored !== undefined && eraOf(stored.version) === eraOf(known.version);
    const wasForgotten = this.forgottenRecords.delete(name) || !isSameEra;
    if (wasForgotten && (stored?.value.term ?? 0) <= value.term) {
      this.records.set(name, { ...known, version: stored?.version ?? absentVersion });
      this.forgottenRecords.add(name);
    }
  }

  private async updatePlacement(term: number, nowMs: number): Promise<void> {
    const views = this.findCandidates(nowMs);
    const incarnations = new Set(views.map(({ incarnation }) => incarnation));
    [...this.refusals.keys()]
      .filter((incarnation) => !incarnations.has(incarnation))
      .forEach((incarnation) => this.refusals.delete(incarnation));
    const demands: PlacementDemand[] = this.models().map((model) => ({
      model,
      replicas: model.replicas,
    }));
    const current: Placement = new Map(
      demands.map(({ model }) => [
        model.name,
        this.records.get(this.objectNameOf(model.name))?.value.chains ?? [],
      ]),
    );
    const planned = planPlacement(demands, views.map(toCandidate), current);
    for (const { model } of demands) {
      const chains = planned.get(model.name) ?? [];
      const isSaved = await this.save(model.name, chains, term);
      // A slow write may outlast the lease.
      if (isSaved && this.lease.fencingToken() === term) {
        chains.flat().forEach((stage) => this.sendOrder(stage, model, term, views));
      }
    }
    if (this.isFenced) {
      this.isFenced = false;
      this.lease.handleFencedOrder();
    }
  }

  /**
   * Returns the endpoints of the region that can hold layers, including those that became
   * unavailable within the grace period.
   */
  private findCandidates(nowMs: number): readonly EndpointView[] {
    const views = this.fleet
      .endpoints()
      .filter((view) => !view.report.service && view.region === this.region && !view.leaving);
    views
      .filter((view) => view.connected && view.report.answering && view.report.memoryMiB > 0)
      .forEach((view) => this.lastAvailableMs.set(view.id, nowMs));
    return views.filter(
      (view) => nowMs - (this.lastAvailableMs.get(view.id) ?? -Infinity) < lostEndpointGraceMs,
    );
  }

  private async save(
    model: string,
    chains: readonly PlannedChain[],
    term: number,
  ): Promise<boolean> {
    const name = this.objectNameOf(model);
    const stored = this.records.get(name);
    const isUnchanged = JSON.stringify(stored?.value.chains ?? []) === JSON.stringify(chains);
    if (isUnchanged && !this.forgottenRecords.has(name)) {
      return true;
    }
    const value: PlacementRecord = { model, term, chains };
    const version = stored?.version ?? absentVersion;
    const put = await this.store.put(ObjectKind.Placements, name, value, version);
    if (put.isErr()) {
      this.lastTerm = undefined; // forces the placements to be read again in the next step
      return false;
    }
    const kind = ObjectKind.Placements;
    const again = this.forgottenRecords.delete(name);
    this.restored += again ? 1 : 0;
    this.records.set(name, { kind, name, version: put.value, value });
    this.logger.log(LogLevel.Info, 'placement', {
      model,
      term,
      again,
      chains: chains.map(formatChain).join(' '),
    });
    return true;
  }

  private sendOrder(
    stage: PlannedStage,
    model: ModelSpec,
    term: number,
    views: readonly EndpointView[],
  ): void {
    const view = views.find((candidate) => candidate.id === stage.endpoint);
    const { report } = view ?? {};
    const isRangeHeld = report?.model === model.name && sameRange(report.range, stage.range);
    const highestTerm = Math.max(
      report?.term ?? 0,
      this.refusals.get(view?.incarnation ?? '') ?? 0,
    );
    if (view && highestTerm > term) {
      this.isFenced = true;
      this.logger.log(LogLevel.Warn, 'order-fenced', { endpoint: view.id, term, highestTerm });
    } else if (view && !(isRangeHeld && report?.term === term)) {
      const { name, version } = model;
      const { range } = stage;
      this.fleet.send(view.incarnation, {
        kind: MessageKind.Order,
        term,
        model: name,
        version,
        range,
      });
    }
  }

  private objectNameOf(model: string): string {
    return `${model}.${this.region}`;
  }
}

function toCandidate(view: EndpointView) {
  const { memoryMiB, layerMicros } = view.report;
  return { id: view.id, dataCentre: view.place, memoryMiB, layerMicros };
}

function formatChain(chain: PlannedChain): string {
  return chain.map((stage) => `${stage.endpoint}:${formatRange(stage.range)}`).join(',');
}
