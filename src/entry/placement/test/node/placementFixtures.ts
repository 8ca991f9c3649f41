import { Emitter } from '../../../../base/common/event.js';
import type { FakeClock } from '../../../../base/test/common/fakeClock.js';
import {
  MessageKind,
  type LinkMessage,
  type OrderMessage,
} from '../../../../services/link/common/messages.js';
import { AcceleratorKind } from '../../../../services/model/common/model.js';
import type { LeaseCandidate } from '../../../../services/lease/common/lease.js';
import type { IObjectStore } from '../../../../services/objects/common/objects.js';
import {
  DrillStoreClient,
  type DrillStore,
} from '../../../../services/objects/test/common/drillStore.js';
import type { EndpointView } from '../../../fleet/common/endpointView.js';
import type {
  AgentIncarnation,
  FleetLoss,
  FleetMessage,
  IFleet,
} from '../../../fleet/common/fleet.js';
import { createPlacementLease } from '../../node/placementLease.js';
import { Placer, type ModelRecord } from '../../node/placer.js';

export const leaseDurationMs = 6_000;

export const region = 'r';

const model: ModelRecord = {
  name: 'm',
  layers: 4,
  layerMiB: 100,
  version: '1',
  contextTokens: 1,
  replicas: 1,
};

function createView(id: string): EndpointView {
  return {
    id,
    incarnation: `${id}-1`,
    address: id,
    place: 'p',
    region,
    connected: true,
    leaving: false,
    ejected: false,
    ownActive: 0,
    othersActive: 0,
    entries: 1,
    report: {
      model: '',
      range: { from: 0, to: 0 },
      service: false,
      accelerator: AcceleratorKind.Medium,
      memoryMiB: 300,
      layerMicros: 1,
      stepMicros: 0,
      active: 0,
      capacity: 1,
      leaving: false,
      answering: true,
      ready: true,
      term: 0,
    },
  };
}

/** Endpoints that record the orders sent to them and hold no layers. */
export class FakeFleet implements IFleet {
  readonly orders: OrderMessage[] = [];

  private readonly tokensByIncarnation = new Map<string, readonly number[]>();

  readonly received = new Emitter<FleetMessage>();

  readonly onDidReceive = this.received.event;

  readonly onDidLose = new Emitter<FleetLoss>().event;

  readonly onDidRestore = new Emitter<AgentIncarnation>().event;

  readonly onDidChange = new Emitter<void>().event;

  views: readonly EndpointView[];

  constructor(ids: readonly string[]) {
    this.views = ids.map(createView);
  }

  /** Returns the tokens of all orders that an agent got. */
  tokensOf(incarnation: string): readonly number[] {
    return this.tokensByIncarnation.get(incarnation) ?? [];
  }

  endpoints(): readonly EndpointView[] {
    return this.views;
  }

  send(incarnation: string, message: LinkMessage): boolean {
    if (message.kind === MessageKind.Order) {
      this.orders.push(message);
      this.tokensByIncarnation.set(incarnation, [...this.tokensOf(incarnation), message.term]);
    }
    return true;
  }

  addActive(): void {}

  markFull(): void {}
}

/** Entry that may place layers, with its own view of the store. */
export class PlacingEntry {
  readonly fleet: FakeFleet;

  readonly client: DrillStoreClient;

  readonly lease: LeaseCandidate;

  readonly placer: Placer;

  constructor(
    incarnation: string,
    store: DrillStore,
    readonly clock: FakeClock,
    endpoints: readonly string[] = ['a', 'b', 'c'],
    wrapStore: (client: DrillStoreClient) => IObjectStore = (client) => client,
  ) {
    this.fleet = new FakeFleet(endpoints);
    this.client = new DrillStoreClient(store);
    const options = { region, incarnation, durationMs: leaseDurationMs };
    this.lease = createPlacementLease(options, this.client, clock);
    const placementStore = wrapStore(this.client);
    const logger = { log: () => undefined };
    this.placer = new Placer(region, this.lease, placementStore, this.fleet, () => [model], logger);
  }

  /** Lets the placer act once; returns the tokens of the orders that it sent. */
  async step(): Promise<readonly number[]> {
    this.fleet.orders.length = 0;
    await this.placer.step(this.clock.monotonicMs());
    return this.fleet.orders.map(({ term }) => term);
  }
}
