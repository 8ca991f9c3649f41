import { Agent } from 'node:http';
import { call, modelHeaders, type CallerAnswer } from '../../platform/test/gatewayFleet.js';
import { answerMetadata } from '../../platform/test/wireViews.js';
import { SeededRandom } from '../../src/base/common/random.js';
import { timeoutMs } from '../common/checkers.js';
import { CallOutcome, RequestKind, type CallRecord } from '../common/records.js';
import { lastingKey, sleep, type SoakFleet, type SoakGateway } from './soakFleet.js';

/** Events of a whole stream of a stand-in. */
const eventCount = 6;

/** Longest pause between two calls of one caller, in milliseconds. */
const maxThinkMs = 60;

/** Time after which a caller gives up, in milliseconds; longer than any answer may take. */
const patienceMs = timeoutMs + 3_000;

/** A key that no configuration ever holds. */
const strangeKey = 'key-strange';

/** Callers of each gateway; half of them keep their connections until the process is gone. */
export class Callers {
  readonly calls: CallRecord[] = [];

  private stopped = false;

  private count = 0;

  /**
   * @param fleet - The system under test.
   * @param seed - Decides what is asked and when.
   */
  constructor(
    private readonly fleet: SoakFleet,
    private readonly seed: number,
  ) {}

  /**
   * Sends requests until `stop`.
   *
   * @param perGateway - Callers of each gateway.
   */
  async run(perGateway: number): Promise<void> {
    const workers = this.fleet.gateways.flatMap((gateway, place) =>
      Array.from({ length: perGateway }, (_unused, index) =>
        this.work(gateway, this.seed * 1_000 + place * perGateway + index, index % 2 === 0),
      ),
    );
    await Promise.all(workers);
  }

  /** Ends the callers after their present calls. */
  stop(): void {
    this.stopped = true;
  }

  private async work(gateway: SoakGateway, seed: number, keepsOpen: boolean): Promise<void> {
    const random = new SeededRandom(seed);
    const agent = keepsOpen ? new Agent({ keepAlive: true, maxSockets: 1 }) : undefined;
    while (!this.stopped) {
      const kind = random.pick(Object.values(RequestKind));
      const key = this.chooseKey(random);
      await this.send(gateway, kind, key, agent);
      await sleep(random.integer(0, maxThinkMs));
    }
    agent?.destroy();
  }

  private chooseKey(random: SeededRandom): string {
    const draw = random.integer(0, 9);
    if (draw < 7) {
      return lastingKey;
    }
    return draw < 9 ? random.pick(this.fleet.keys).key : strangeKey;
  }

  private async send(
    gateway: SoakGateway,
    kind: RequestKind,
    key: string,
    agent: Agent | undefined,
  ): Promise<void> {
    this.count += 1;
    const id = `${this.seed}-${this.count}`;
    const target = `/${kind}/${id}`;
    const body = kind === RequestKind.Lookup ? '' : `body of ${id}`;
    const process = gateway.process.pid;
    const startMs = Date.now();
    const answer = await call(gateway.front.port, target, {
      id,
      key,
      agent,
      method: kind === RequestKind.Lookup ? 'GET' : 'POST',
      body: body === '' ? undefined : body,
      headers: kind === RequestKind.Stream ? modelHeaders : {},
      signal: AbortSignal.timeout(patienceMs),
    });
    this.calls.push({
      id,
      kind,
      gateway: gateway.name,
      process,
      key,
      target,
      body,
      startMs,
      endMs: Date.now(),
      status: answer.status,
      outcome: outcomeOf(kind, id, answer),
      hasRetryAfter: answer.headers['retry-after'] !== undefined,
      detail: detailOf(gateway, answer),
    });
  }
}

/** What a call ended with; a connection that the process refused shows as a reset by the proxy. */
function detailOf({ front }: SoakGateway, answer: CallerAnswer): string {
  const { status, error, localPort, body } = answer;
  if (localPort !== undefined && front.refusedPorts.delete(localPort)) {
    return 'ECONNREFUSED behind the proxy';
  }
  return error ?? (status === 200 ? '' : body.slice(0, 80));
}

function outcomeOf(kind: RequestKind, id: string, answer: CallerAnswer): CallOutcome {
  const { status, isComplete, body } = answer;
  const { requestId, hasSignature } = answerMetadata(answer);
  if (status === 0) {
    return CallOutcome.None;
  }
  if (requestId !== undefined && requestId !== id) {
    return CallOutcome.Wrong;
  }
  if (!isComplete) {
    return CallOutcome.Partial;
  }
  if (status >= 300) {
    return CallOutcome.Failure;
  }
  const isOwn =
    kind === RequestKind.Stream
      ? body === wholeStream(id)
      : /^answer of \S+ to /.test(body) && body.endsWith(` to ${id}`);
  return isOwn && hasSignature ? CallOutcome.Whole : CallOutcome.Wrong;
}

function wholeStream(id: string): string {
  return Array.from(
    { length: eventCount },
    (_unused, index) => `id: ${index + 1}\ndata: piece ${index + 1} to ${id}\n\n`,
  ).join('');
}
