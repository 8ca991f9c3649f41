import { CrowdKind, CrowdTarget } from '../../platform/test/crowdPlan.js';
import { CrowdProcess } from '../../platform/test/crowdProcess.js';
import { deployedLimits } from '../../platform/test/gatewayProcess.js';
import { call, modelHeaders } from '../../platform/test/gatewayFleet.js';
import { Behaviour } from '../../platform/test/fakeReplica.js';
import { FaultyAnswer } from '../../platform/test/faultyAnswers.js';
import { StoreMode } from '../../platform/test/fakeStore.js';
import { PauseDirection } from '../../src/bench/node/faultProxy.js';
import { firstParts, type Callers } from './callers.js';
import { SeededRandom } from '../../src/base/common/random.js';
import { crashingPrefix, namedLimitPerSecond } from '../common/checkers.js';
import { pauseMs } from '../common/signalCheckers.js';
import { timeoutOf } from '../common/timeLimits.js';
import {
  FaultKind,
  RequestKind,
  servicesByKind,
  streamKinds,
  type CrowdRecord,
  type FaultRecord,
  type PlannedFault,
} from '../common/records.js';
import {
  permanentKey,
  sleep,
  type SoakEndpoint,
  type SoakFleet,
  type SoakGateway,
  crashingPartPrefix,
} from './soakFleet.js';

/**
 * Time for which a crashing request is sent beyond the duration of the fault, in milliseconds, so that it
 * also comes after the gateways must have stopped it.
 */
const crashingRequestExtraMs = 5_000;

/** Pause between the calls of a crashing request, in milliseconds. */
const crashingRequestPauseMs = 200;

/**
 * Time for which requests with a crashing part are sent beyond the duration of the fault, in milliseconds,
 * so that they also come after the gateways must have stopped them and sound ones must begin again.
 */
const crashingPartExtraMs = 11_000;

/** Pause between the calls with a crashing part at one gateway, in milliseconds. */
const crashingPartPauseMs = 150;

/** Shortest and longest time for which a sound endpoint falls silent, in milliseconds. */
const minSilenceMs = 900;
const maxSilenceMs = 1_600;

/** The same for endpoints that fall silent in series, and the time within which all of these do. */
const minSeriesSilenceMs = 800;
const maxSeriesSilenceMs = 2_200;
const silenceSeriesMs = 1_500;

/**
 * Time for which an endpoint names its limit beyond the duration of the fault, in milliseconds, so that
 * its requests are also counted after all gateways must keep it.
 */
const limitExtraMs = 7_000;

const millisecondsPerSecond = 1_000;

/** Time for which crowds stay beyond the duration of the fault, in milliseconds. */
const crowdExtraMs = 3_000;

const crowdsAtOnce = 2;

/**
 * Time for which endpoints write faulty answers beyond the duration of the fault, in milliseconds, so that
 * deadlines pass meanwhile.
 */
const faultyAnswersExtraMs = 2_000;

/** Calls of each gateway to a service whose endpoints write them, and the pause between two bursts, in ms. */
const faultyBurstSize = 8;
const faultyBurstPauseMs = 500;

/** Largest seed of the choices of one endpoint. */
const maxSeed = 1_000_000;

/** Shares of the requests that get a faulty answer, of the endpoints that write some. */
const faultyShares = [0.1, 0.5, 1];

/** Number of callers of each kind of crowd that comes to a gateway. */
const crowdSizes: Partial<Record<CrowdKind, number>> = {
  [CrowdKind.HeldBodies]: 60,
  [CrowdKind.HalfBodies]: 60,
  [CrowdKind.HeldChunks]: 60,
  [CrowdKind.TinyChunks]: 10,
  [CrowdKind.OversizedBodies]: 20,
  [CrowdKind.Pipelined]: 5,
  [CrowdKind.UnendedHeads]: 200,
  [CrowdKind.ManyFields]: 100,
  [CrowdKind.SilentConnections]: 1_000,
  [CrowdKind.SlowHeads]: 200,
  [CrowdKind.TrickledBodies]: 200,
  [CrowdKind.BodiesOnGet]: 30,
  [CrowdKind.UnsentBodies]: 200,
  [CrowdKind.LongExtensions]: 20,
  [CrowdKind.LongTrailers]: 20,
  [CrowdKind.HalfRequests]: 100,
  [CrowdKind.ResetBodies]: 10,
};

const crowdTargets = [
  CrowdTarget.Plain,
  CrowdTarget.Stream,
  CrowdTarget.NoRoute,
  CrowdTarget.ReadinessOfCallers,
];

/** Delay of each chunk of data on a slow connection, in milliseconds. */
const slowLinkMs = 80;

const storeModes: Partial<Record<FaultKind, StoreMode>> = {
  [FaultKind.StoreUnavailable]: StoreMode.Unavailable,
  [FaultKind.StoreSilent]: StoreMode.Silent,
  [FaultKind.StoreDropsWriteAnswers]: StoreMode.DropsWriteAnswers,
  [FaultKind.StoreWritesLate]: StoreMode.WritesLate,
  [FaultKind.StoreSlow]: StoreMode.Slow,
};

const behaviours: Partial<Record<FaultKind, Behaviour>> = {
  [FaultKind.EndpointShedsLoad]: Behaviour.ShedLoad,
  [FaultKind.EndpointFails]: Behaviour.Fail,
  [FaultKind.EndpointClosesWithoutAnswer]: Behaviour.CloseWithoutAnswer,
  [FaultKind.EndpointCutsStreams]: Behaviour.CutStream,
  [FaultKind.EndpointResetsDuringAnswer]: Behaviour.ResetDuringAnswer,
  [FaultKind.EndpointNeverAnswers]: Behaviour.NeverAnswer,
  [FaultKind.EndpointCutsUnframed]: Behaviour.CutStream,
  [FaultKind.EndpointResetsUnframed]: Behaviour.ResetAfterWhole,
  [FaultKind.EndpointAnswersWithoutEnd]: Behaviour.AnswerWithoutEnd,
  [FaultKind.EndpointAnswersWrongRequest]: Behaviour.AnswerWrongRequest,
  [FaultKind.EndpointRepeatsRefusals]: Behaviour.ShedAndRepeat,
};

/** Injects planned faults from outside the gateways and records when each was in effect. */
export class FaultInjector {
  readonly faults: FaultRecord[] = [];

  readonly crowds: CrowdRecord[] = [];

  /** Aspects of targets that an active fault changes, such as the process of a gateway. */
  private readonly busyAspects = new Set<string>();

  /** Faults of an endpoint that end it, take it out of the store or make it name a limit. */
  private readonly endpointFaults: Partial<
    Record<FaultKind, (endpoint: SoakEndpoint, fault: PlannedFault) => Promise<void>>
  > = {
    [FaultKind.CrashEndpoint]: (endpoint, { durationMs, startOffsetMs }) =>
      this.fleet.crashEndpoint(endpoint, durationMs, startOffsetMs % 2 === 0),
    [FaultKind.DrainEndpoint]: (endpoint, { durationMs }) =>
      this.fleet.drainEndpoint(endpoint, durationMs),
    [FaultKind.RemoveEndpointEntry]: (endpoint, { durationMs }) =>
      this.fleet.removeEntry(endpoint, durationMs),
    [FaultKind.EndpointSaysLeaving]: (endpoint, { durationMs }) =>
      this.fleet.sayLeaving(endpoint, durationMs),
    [FaultKind.EndpointPauses]: async ({ replica }, { durationMs, startOffsetMs }) => {
      replica.pauseSaysNotRun = startOffsetMs % 3 > 0;
      replica.pauseText = String(pauseMs / millisecondsPerSecond);
      await sleep(durationMs + pauseMs);
      replica.pauseText = undefined;
    },
    [FaultKind.EndpointNamesLimit]: async ({ replica }, { durationMs }) => {
      replica.limit = String(namedLimitPerSecond);
      await sleep(durationMs + limitExtraMs);
      replica.limit = undefined;
    },
  };

  /**
   * @param fleet - The system under test.
   * @param callers - Send the calls that faults consist of.
   */
  constructor(
    private readonly fleet: SoakFleet,
    private readonly callers: Callers,
  ) {}

  /**
   * Injects a fault and reverts it after its duration.
   *
   * @param fault - The fault. It is skipped while another fault changes the same aspect of its
   *   target.
   */
  async inject(fault: PlannedFault): Promise<void> {
    const { kind, durationMs } = fault;
    const gateway = pick(this.fleet.gateways, fault.targetSelector);
    const endpoint = pick(this.fleet.endpoints, fault.targetSelector);
    if (kind in storeModes || kind === FaultKind.StoreCompactsHistory) {
      await this.runExclusively(kind, 'store', 'store', () =>
        this.injectStoreFault(kind, durationMs),
      );
    } else if (kind === FaultKind.StoreComesBackOlder) {
      await this.runExclusively(kind, 'store', 'store', () => this.drillStore(durationMs));
    } else if (kind === FaultKind.OddEntries) {
      await this.runExclusively(kind, 'entries', 'odd entries', () => this.leaveOddEntries(fault));
    } else if (kind === FaultKind.OldPages) {
      await this.runExclusively(kind, 'entries', 'old pages', () =>
        this.fleet.showOldPages(durationMs),
      );
    } else if (kind === FaultKind.CrashingRequest) {
      await this.runExclusively(kind, 'endpoints', 'crashing request', () =>
        this.sendCrashingRequest(fault),
      );
    } else if (kind === FaultKind.CrashingPart) {
      await this.runExclusively(kind, crashingPartOf(fault), 'crashing part', () =>
        this.sendCrashingPart(fault),
      );
    } else if (kind === FaultKind.FaultyAnswers) {
      await this.sendFaultyAnswers(fault);
    } else if (kind === FaultKind.EndpointsFallSilentInSeries) {
      await this.runExclusively(kind, 'endpoints', 'silent series', () =>
        this.silenceEndpoints(fault),
      );
    } else if (kind === FaultKind.EndpointFallsSilent || kind === FaultKind.EndpointOmitsFraming) {
      const name = endpoint.replica.options.id;
      await this.runExclusively(kind, name, `${endpoint.name} ${kind}`, () =>
        this.changeReplica(kind, endpoint, durationMs),
      );
    } else if (kind in behaviours) {
      const name = endpoint.replica.options.id;
      await this.runExclusively(kind, name, `${endpoint.name} replica`, () =>
        this.injectReplicaFault(kind, endpoint, durationMs),
      );
    } else if (kind === FaultKind.CallerCrowd) {
      await this.runExclusively(kind, gateway.name, `${gateway.name} crowd`, () =>
        this.sendCrowds(gateway, fault),
      );
    } else if (kind.endsWith('-gateway')) {
      await this.runExclusively(kind, gateway.name, `${gateway.name} process`, () =>
        this.injectProcessFault(kind, gateway, durationMs),
      );
    } else if (kind.endsWith('-callers')) {
      await this.runExclusively(kind, gateway.name, `${gateway.name} callers`, () =>
        this.injectLinkFault(kind, gateway.callerProxy, durationMs),
      );
    } else if (kind.endsWith('-store')) {
      await this.runExclusively(kind, gateway.name, `${gateway.name} store`, () =>
        this.injectLinkFault(kind, gateway.storeProxy, durationMs),
      );
    } else if (kind in this.endpointFaults) {
      const name = endpoint.replica.options.id;
      await this.runExclusively(kind, name, `${endpoint.name} replica`, async () =>
        this.endpointFaults[kind]?.(endpoint, fault),
      );
    } else if (kind.endsWith('-endpoint')) {
      const name = endpoint.replica.options.id;
      await this.runExclusively(kind, name, `${endpoint.name} proxy`, () =>
        this.injectLinkFault(kind, endpoint.proxy, durationMs),
      );
    } else {
      await this.runExclusively(kind, 'config', 'config', () => this.changeConfig(kind));
    }
  }

  private async runExclusively(
    kind: FaultKind,
    target: string,
    aspect: string,
    action: () => Promise<void>,
    service?: string,
  ): Promise<void> {
    if (this.busyAspects.has(aspect)) {
      return;
    }
    this.busyAspects.add(aspect);
    const record: FaultRecord = { kind, target, service, startMs: Date.now(), endMs: Infinity };
    this.faults.push(record);
    try {
      await action();
    } finally {
      record.endMs = Date.now();
      this.busyAspects.delete(aspect);
    }
  }

  private async leaveOddEntries({ startOffsetMs, durationMs }: PlannedFault): Promise<void> {
    const prefix = `odd-${startOffsetMs}`;
    this.fleet.writeOddEntries(prefix);
    await sleep(durationMs);
    this.fleet.removeOddEntries(prefix);
  }

  private async drillStore(durationMs: number): Promise<void> {
    const copy = this.fleet.store.copy();
    await sleep(durationMs);
    await this.fleet.bringStoreBack(copy);
  }

  /** Lets two crowds of misbehaving callers come to a gateway, past the proxy of its other callers. */
  private async sendCrowds(
    gateway: SoakGateway,
    { startOffsetMs, durationMs }: PlannedFault,
  ): Promise<void> {
    const { process } = gateway;
    const random = new SeededRandom(startOffsetMs);
    const kinds = Object.keys(crowdSizes) as CrowdKind[];
    const crowds = Array.from({ length: crowdsAtOnce }, () => {
      const kind = random.pick(kinds);
      const target = random.pick(crowdTargets);
      return { kind, target, count: crowdSizes[kind] ?? 0, returns: random.integer(0, 2) };
    });
    const startMs = Date.now();
    const crowd = await CrowdProcess.start({
      crowds,
      seed: startOffsetMs,
      key: permanentKey,
      callerPort: Number(process.listenAddress),
      readyPort: Number(process.listenAddress),
      maxBodyBytes: deployedLimits.max_body_bytes,
      maxHeadBytes: deployedLimits.max_header_bytes,
    });
    await sleep(durationMs + crowdExtraMs);
    const { notRunIds } = await crowd.close();
    this.crowds.push({ gateway: gateway.name, startMs, endMs: Date.now(), notRunIds });
    this.fleet.checkMemory(gateway);
  }

  /** Sends the same request again and again, through one gateway after the other. */
  private async sendCrashingRequest({ startOffsetMs, durationMs }: PlannedFault): Promise<void> {
    const { gateways } = this.fleet;
    const kinds = Object.values(RequestKind);
    const kind = kinds[startOffsetMs % kinds.length];
    const untilMs = Date.now() + durationMs + crashingRequestExtraMs;
    const name = `${crashingPrefix}${startOffsetMs}`;
    for (let count = startOffsetMs; Date.now() < untilMs; count += 1) {
      await call(gateways[count % gateways.length].callerProxy.port, `/${kind}/${name}`, {
        id: `${name}-${count}`,
        key: permanentKey,
        method: kind === RequestKind.Lookup ? 'GET' : 'POST',
        body: kind === RequestKind.Lookup ? undefined : name,
        headers: streamKinds.has(kind) ? modelHeaders : {},
        signal: AbortSignal.timeout(timeoutOf(kind)),
      });
      await sleep(crashingRequestPauseMs);
    }
  }

  /** Sends requests with a part that crashes endpoints, no two alike, through all gateways at once. */
  private async sendCrashingPart(fault: PlannedFault): Promise<void> {
    const untilMs = Date.now() + fault.durationMs + crashingPartExtraMs;
    const sharedParts = [
      firstParts[fault.startOffsetMs % firstParts.length],
      crashingPartOf(fault),
    ];
    const plan = { kind: RequestKind.Stream, key: permanentKey, sharedParts };
    const sendThrough = async (gateway: SoakGateway) => {
      while (Date.now() < untilMs) {
        await this.callers.send(gateway, plan);
        await sleep(crashingPartPauseMs);
      }
    };
    await Promise.all(this.fleet.gateways.map(sendThrough));
  }

  /** Lets a sound endpoint fall silent, or omit the framing of its answers. */
  private async changeReplica(
    kind: FaultKind,
    { replica }: SoakEndpoint,
    durationMs: number,
  ): Promise<void> {
    if (kind === FaultKind.EndpointFallsSilent) {
      const silenceMs = minSilenceMs + (durationMs % (maxSilenceMs - minSilenceMs));
      replica.fallSilent(silenceMs);
      await sleep(silenceMs);
      return;
    }
    replica.omitsFraming = true;
    await sleep(durationMs);
    replica.omitsFraming = false;
  }

  /** Lets up to half of the endpoints fall silent within a short time. */
  private async silenceEndpoints({ startOffsetMs }: PlannedFault): Promise<void> {
    const random = new SeededRandom(startOffsetMs);
    const { endpoints } = this.fleet;
    const count = random.integer(1, Math.floor(endpoints.length / 2));
    const chosen = new Set(Array.from({ length: count }, () => random.pick(endpoints)));
    const silence = async ({ replica }: SoakEndpoint, delayMs: number, silenceMs: number) => {
      await sleep(delayMs);
      replica.fallSilent(silenceMs);
      await sleep(silenceMs);
    };
    await Promise.all(
      [...chosen].map((endpoint) =>
        silence(
          endpoint,
          random.integer(0, silenceSeriesMs),
          random.integer(minSeriesSilenceMs, maxSeriesSilenceMs),
        ),
      ),
    );
  }

  /**
   * Lets one, some or all endpoints of a service write bytes that are no answer to a part of their requests,
   * each of another kind, and checks the memory of the gateways after it.
   */
  private async sendFaultyAnswers({
    kind,
    startOffsetMs,
    durationMs,
  }: PlannedFault): Promise<void> {
    const random = new SeededRandom(startOffsetMs);
    const service = random.pick(Object.values(servicesByKind).flat());
    const endpoints = this.fleet.endpoints.filter(
      ({ replica }) => replica.options.service === service,
    );
    const count = random.pick([1, random.integer(1, endpoints.length), endpoints.length]);
    const firstIndex = random.integer(0, endpoints.length - 1);
    const chosen = Array.from(
      { length: count },
      (_unused, index) => endpoints[(firstIndex + index) % endpoints.length],
    );
    const answerFaultily = async ({ name, replica }: SoakEndpoint) => {
      const answer = random.pick(Object.values(FaultyAnswer));
      const share = random.pick(faultyShares);
      const requestRandom = new SeededRandom(random.integer(0, maxSeed));
      await this.runExclusively(
        kind,
        replica.options.id,
        `${name} replica`,
        async () => {
          replica.faultyAnswerTo = () => (requestRandom.float() < share ? answer : undefined);
          await sleep(durationMs + faultyAnswersExtraMs);
          replica.faultyAnswerTo = () => undefined;
        },
        service,
      );
    };
    await Promise.all([
      ...chosen.map(answerFaultily),
      this.callInBursts(service, durationMs + faultyAnswersExtraMs),
    ]);
    this.fleet.gateways.forEach((gateway) => this.fleet.checkMemory(gateway));
  }

  /** Sends bursts of calls to a service through all gateways; only one of long streams, whose places are few. */
  private async callInBursts(service: string, durationMs: number): Promise<void> {
    const untilMs = Date.now() + durationMs;
    const kinds = Object.values(RequestKind).filter((kind) =>
      servicesByKind[kind].includes(service),
    );
    const pending: Promise<void>[] = [];
    do {
      const kind = kinds[pending.length % kinds.length];
      const sharedParts = streamKinds.has(kind) ? [firstParts[0]] : [];
      const calls = this.fleet.gateways.flatMap((gateway) =>
        Array.from({ length: faultyBurstSize }, () =>
          this.callers.send(gateway, { kind, key: permanentKey, sharedParts }),
        ),
      );
      pending.push(Promise.all(calls).then(() => undefined));
      await sleep(faultyBurstPauseMs);
    } while (Date.now() < untilMs && kinds[0] !== RequestKind.LongStream);
    await Promise.all(pending);
  }

  private async injectStoreFault(kind: FaultKind, durationMs: number): Promise<void> {
    const { store } = this.fleet;
    if (kind === FaultKind.StoreCompactsHistory) {
      store.compactHistory();
      return;
    }
    store.mode = storeModes[kind] ?? StoreMode.Serving;
    await sleep(durationMs);
    store.mode = StoreMode.Serving;
  }

  private async injectReplicaFault(
    kind: FaultKind,
    endpoint: SoakEndpoint,
    durationMs: number,
  ): Promise<void> {
    const { replica } = endpoint;
    replica.behaviour = behaviours[kind] ?? Behaviour.Serve;
    replica.omitsFraming ||= kind === FaultKind.EndpointCutsUnframed;
    await sleep(durationMs);
    replica.behaviour = Behaviour.Serve;
    replica.omitsFraming &&= kind !== FaultKind.EndpointCutsUnframed;
  }

  private async injectProcessFault(
    kind: FaultKind,
    gateway: SoakGateway,
    durationMs: number,
  ): Promise<void> {
    switch (kind) {
      case FaultKind.KillGateway:
        await this.fleet.restartGateway(gateway, 'SIGKILL');
        break;
      case FaultKind.StopGateway:
        await this.fleet.restartGateway(gateway, 'SIGTERM');
        break;
      case FaultKind.ReloadGateway:
        gateway.process.signal('SIGHUP');
        break;
      default:
        gateway.process.signal('SIGSTOP');
        await sleep(durationMs);
        gateway.process.signal('SIGCONT');
    }
  }

  private async injectLinkFault(
    kind: FaultKind,
    proxy: SoakGateway['callerProxy'],
    durationMs: number,
  ): Promise<void> {
    if (kind.startsWith('reset-') || kind.startsWith('cut-')) {
      proxy.resetConnections();
    } else if (kind.startsWith('silence-')) {
      proxy.discardData();
      await sleep(durationMs);
    } else if (kind.startsWith('delay-')) {
      proxy.delayMs = slowLinkMs;
      await sleep(durationMs);
      proxy.delayMs = 0;
    } else {
      const directions = kind.startsWith('one-way-')
        ? [PauseDirection.ToClient]
        : Object.values(PauseDirection);
      proxy.pause(...directions);
      await sleep(durationMs);
      proxy.resume();
    }
  }

  private async changeConfig(kind: FaultKind): Promise<void> {
    if (kind === FaultKind.AddKey) {
      this.fleet.addKey();
    } else if (kind === FaultKind.RevokeKey) {
      this.fleet.revokeKey();
    } else if (kind === FaultKind.MoveRoute) {
      this.fleet.moveRoute();
    } else {
      this.fleet.growConfig();
    }
    await Promise.resolve();
  }
}

function crashingPartOf({ startOffsetMs }: PlannedFault): string {
  return `${crashingPartPrefix}${startOffsetMs}`;
}

function pick<T>(items: readonly T[], selector: number): T {
  return items[Math.floor(selector * items.length)];
}
