import { Agent } from 'node:http';
import { call, type CallerAnswer } from '../../platform/test/gatewayFleet.js';
import { answerMetadata, promptHeaders, timeBudgetHeader } from '../../platform/test/wireViews.js';
import { SeededRandom } from '../../src/base/common/random.js';
import { CallOutcome, RequestKind, streamKinds, type CallRecord } from '../common/records.js';
import { timeoutOf } from '../common/timeLimits.js';
import { permanentKey, sleep, type SoakFleet, type SoakGateway } from './soakFleet.js';

/** Number of events in a complete stream of a stand-in endpoint. */
const eventCount = 6;

/** Maximum pause between two calls of a caller, in milliseconds. */
const maxThinkTimeMs = 60;

/** Time for which a caller waits beyond the timeout of a route, in milliseconds. */
const extraPatienceMs = 3_000;

/** First parts of prompts, each of which many requests share. */
export const firstParts = ['f0', 'f1'] as const;

/** What distinguishes a call. */
export interface CallPlan {
  readonly kind: RequestKind;
  readonly key: string;
  /** Ids of the parts of its prompt that other calls share; the last one is its own. */
  readonly sharedParts: readonly string[];
  readonly agent?: Agent;
}

/** Key that is never part of the configuration. */
const unknownKey = 'key-strange';

/**
 * Simulates concurrent callers of each gateway. Half of them keep their connection alive until the
 * gateway process ends.
 */
export class Callers {
  readonly calls: CallRecord[] = [];

  private isStopped = false;

  private callCount = 0;

  /**
   * @param fleet - The system under test.
   * @param seed - Seed of the random choices of requests and pauses.
   */
  constructor(
    private readonly fleet: SoakFleet,
    private readonly seed: number,
  ) {}

  /**
   * Sends requests until `stop` is called and the calls in progress have ended.
   *
   * @param callersPerGateway - Number of callers of each gateway.
   */
  async run(callersPerGateway: number): Promise<void> {
    const callerLoops = this.fleet.gateways.flatMap((gateway, gatewayIndex) =>
      Array.from({ length: callersPerGateway }, (_unused, callerIndex) =>
        this.runCaller(
          gateway,
          this.seed * 1_000 + gatewayIndex * callersPerGateway + callerIndex,
          callerIndex % 2 === 0,
        ),
      ),
    );
    await Promise.all(callerLoops);
  }

  /** Ends each caller after its current call. */
  stop(): void {
    this.isStopped = true;
  }

  /** Sends one request and records how the call ended. */
  async send(gateway: SoakGateway, { kind, key, sharedParts, agent }: CallPlan): Promise<void> {
    this.callCount += 1;
    const id = `${this.seed}-${this.callCount}`;
    const target = `/${kind}/${id}`;
    const body = kind === RequestKind.Lookup ? '' : `body of ${id}`;
    const parts = streamKinds.has(kind) ? [...sharedParts, `e${this.callCount}`] : [];
    const process = gateway.process.pid;
    const startMs = Date.now();
    const answer = await call(gateway.callerProxy.port, target, {
      id,
      key,
      agent,
      method: kind === RequestKind.Lookup ? 'GET' : 'POST',
      body: body === '' ? undefined : body,
      headers: {
        ...timeBudgetHeader(timeoutOf(kind)),
        ...(streamKinds.has(kind) ? promptHeaders(parts) : {}),
      },
      signal: AbortSignal.timeout(timeoutOf(kind) + extraPatienceMs),
    });
    this.calls.push({
      id,
      kind,
      gateway: gateway.name,
      process,
      key,
      target,
      body,
      parts,
      isOnKeptConnection: answer.isOnKeptConnection === true,
      startMs,
      endMs: Date.now(),
      status: answer.status,
      outcome: classifyOutcome(kind, id, answer),
      hasRetryAfter: answer.headers['retry-after'] !== undefined,
      detail: formatDetail(gateway, answer),
    });
  }

  private async runCaller(gateway: SoakGateway, seed: number, keepsAlive: boolean): Promise<void> {
    const random = new SeededRandom(seed);
    const agent = keepsAlive ? new Agent({ keepAlive: true, maxSockets: 1 }) : undefined;
    while (!this.isStopped) {
      const kind = random.pick(Object.values(RequestKind));
      const key = this.chooseKey(random);
      const sharedParts = streamKinds.has(kind) ? [random.pick(firstParts)] : [];
      await this.send(gateway, { kind, key, sharedParts, agent });
      await sleep(random.integer(0, maxThinkTimeMs));
    }
    agent?.destroy();
  }

  private chooseKey(random: SeededRandom): string {
    const draw = random.integer(0, 9);
    if (draw < 7) {
      return permanentKey;
    }
    return draw < 9 ? random.pick(this.fleet.keys).key : unknownKey;
  }
}

/**
 * Describes how a call ended. If the gateway process refused the connection, the caller sees a
 * reset by the proxy, which records the port of such a connection.
 */
function formatDetail({ callerProxy }: SoakGateway, answer: CallerAnswer): string {
  const { status, error, localPort, body } = answer;
  if (localPort !== undefined && callerProxy.refusedPorts.delete(localPort)) {
    return 'ECONNREFUSED behind the proxy';
  }
  return error ?? (status === 200 ? '' : body.slice(0, 80));
}

function classifyOutcome(kind: RequestKind, id: string, answer: CallerAnswer): CallOutcome {
  const { status, isComplete, body } = answer;
  const { requestId, hasSignature } = answerMetadata(answer);
  if (status === 0) {
    return CallOutcome.NoStatus;
  }
  if (requestId !== undefined && requestId !== id) {
    return CallOutcome.Mismatch;
  }
  if (!isComplete) {
    return CallOutcome.Truncated;
  }
  if (status >= 300) {
    return CallOutcome.ErrorStatus;
  }
  const isExpectedBody = streamKinds.has(kind)
    ? body === expectedStream(id)
    : /^answer of \S+ to /.test(body) && body.endsWith(` to ${id}`);
  return isExpectedBody && hasSignature ? CallOutcome.Complete : CallOutcome.Mismatch;
}

function expectedStream(id: string): string {
  return Array.from(
    { length: eventCount },
    (_unused, index) => `id: ${index + 1}\ndata: piece ${index + 1} to ${id}\n\n`,
  ).join('');
}
