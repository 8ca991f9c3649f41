import { Err, Ok, type Result } from 'ts-results-es';
import type { IClock, ITimers } from '../../base/common/clock.js';
import { toErrorMessage } from '../../base/common/errors.js';
import { Emitter } from '../../base/common/event.js';
import type { AnswerIntake } from '../../services/exchange/node/answerIntake.js';
import { splitBaseUrl, type BaseUrl } from '../../services/exchange/node/baseUrl.js';
import { ExchangeFault } from '../../services/exchange/node/endpointSender.js';
import { QueuedSender } from '../../services/exchange/node/queuedSender.js';
import { CallEnd, ExchangeError, receiveWhole } from '../../services/exchange/node/wholeAnswer.js';
import type { OrderMessage } from '../../services/link/common/messages.js';
import type { AcceleratorKind, LayerRange } from '../../services/model/common/model.js';
import {
  EngineError,
  type EngineOutput,
  type EngineStep,
  type IStageEngine,
} from '../stage/common/stageContracts.js';

/** State reported by a model engine. */
export interface EngineState {
  readonly accelerator: AcceleratorKind;
  readonly memoryMiB: number;
  readonly layerMicros: number;
  readonly capacity: number;
  /** Name of the loaded model; empty while none is loaded. */
  readonly model: string;
  readonly range: LayerRange;
  readonly queued: number;
  readonly sequences: number;
  readonly cacheEvents: readonly string[];
}

interface StepReply extends EngineOutput {
  readonly error?: string;
}

interface QueuedStep {
  readonly step: EngineStep;
  readonly resolve: (result: Result<EngineOutput, EngineError>) => void;
}

/** Bounds on the connections to an engine. */
const connectionBounds = { maxExchanges: 16, maxWaiting: 1_024, connectTimeoutMs: 1_000 } as const;

/** Longest idle time after which a connection is used again, in milliseconds. */
const maxReuseIdleMs = 3_000;

/** Status with which an engine refuses an order that is older than one it knows. */
const fencedStatus = 409;

/** Timeouts of requests to an engine, in milliseconds. */
export interface EngineTimeouts {
  /** Timeout of a batch of steps. */
  readonly stepMs: number;
  /** Timeout of reading the state or freeing a sequence. */
  readonly stateMs: number;
}

/** Model engine reached over HTTP; sends the steps queued in one event-loop turn as a batch. */
export class HttpStageEngine implements IStageEngine {
  private readonly sender: QueuedSender;

  private readonly baseUrl: BaseUrl;

  private readonly failureEmitter = new Emitter<string>();

  private queuedSteps: QueuedStep[] = [];

  /** Number of engine crashes. Makes crash ids unique; steps failed by the same crash share an id. */
  private crashCount = 0;

  /** True from a successful read of the state until a read or a batch of steps fails. */
  isAnswering = false;

  /** Fires with the reason when a batch of steps has failed. */
  readonly onDidFail = this.failureEmitter.event;

  /**
   * @param incarnation - Incarnation of the agent; prefix of the crash ids.
   * @param baseUrl - Base URL of the engine, for example `http://127.0.0.1:9000`.
   * @param timeouts - Timeouts of the requests.
   * @param maxAnswerBytes - Size past which an answer is broken off, in bytes.
   * @param intake - Bounds what the answers make the process hold.
   * @param clock - Source of time and timers.
   */
  constructor(
    private readonly incarnation: string,
    baseUrl: string,
    private readonly timeouts: EngineTimeouts,
    private readonly maxAnswerBytes: number,
    intake: AnswerIntake,
    private readonly clock: IClock & ITimers,
  ) {
    this.baseUrl = splitBaseUrl(baseUrl);
    const { protocol } = this.baseUrl;
    this.sender = new QueuedSender({ ...connectionBounds, intake, protocol }, clock);
  }

  run(step: EngineStep): Promise<Result<EngineOutput, EngineError>> {
    return new Promise((resolve) => {
      if (this.queuedSteps.length === 0) {
        setImmediate(() => void this.sendBatch());
      }
      this.queuedSteps.push({ step, resolve });
    });
  }

  freeSequence(sequence: string): void {
    const path = `/sequences/${encodeURIComponent(sequence)}`;
    void this.sendRequest('DELETE', path, undefined, this.timeouts.stateMs).catch(() => undefined);
  }

  /**
   * Reads the engine's state.
   *
   * @param cacheAfter - Index of the first cache event to return.
   * @returns The state, or undefined if the engine does not answer in time.
   */
  async readState(cacheAfter: number): Promise<EngineState | undefined> {
    try {
      const path = `/state?cacheAfter=${cacheAfter}`;
      const reply = await this.sendRequest('GET', path, undefined, this.timeouts.stateMs);
      this.isAnswering = true;
      return reply.body as EngineState;
    } catch {
      this.recordCrash();
      return undefined;
    }
  }

  /**
   * Sends an order to the engine; resolves once the weights are loaded.
   *
   * @param order - Model, layer range and fencing token to pass on.
   * @param layerMiB - Memory of one layer, in MiB.
   * @returns The higher fencing token that the engine knows, if it refused the order for that reason.
   */
  async loadLayers(order: OrderMessage, layerMiB: number): Promise<number | undefined> {
    const { term, model, version, range } = order;
    const body = JSON.stringify({ term, model, version, range, layerMiB });
    try {
      const reply = await this.sendRequest('PUT', '/order', body, undefined, [fencedStatus]);
      const { highestTerm } = reply.body as { readonly highestTerm?: number };
      const isFenced =
        reply.status === fencedStatus && highestTerm !== undefined && highestTerm > term;
      return isFenced ? highestTerm : undefined;
    } catch {
      return undefined;
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    this.failureEmitter.close();
    await this.sender.close();
  }

  private recordCrash(): string {
    if (this.isAnswering) {
      this.isAnswering = false;
      this.crashCount += 1;
    }
    return `${this.incarnation}#${this.crashCount}`;
  }

  private async sendBatch(): Promise<void> {
    const batch = this.queuedSteps;
    this.queuedSteps = [];
    const wasAnswering = this.isAnswering;
    const body = JSON.stringify({ steps: batch.map((queued) => queued.step) });
    try {
      const reply = await this.sendRequest('POST', '/steps', body, this.timeouts.stepMs);
      const { replies } = reply.body as { replies: StepReply[] };
      batch.forEach((queued, index) => queued.resolve(toResult(replies[index])));
    } catch (err) {
      // Steps sent to an engine that was already silent did not run during its crash, unless it took them.
      const crash = wasAnswering || hasEndedWithRequest(err) ? this.recordCrash() : undefined;
      const error = new EngineError(toErrorMessage(err), crash);
      this.failureEmitter.fire(error.message);
      batch.forEach((queued) => queued.resolve(Err(error)));
    }
  }

  private async sendRequest(
    method: 'GET' | 'POST' | 'PUT' | 'DELETE',
    path: string,
    body: string | undefined,
    timeoutMs: number | undefined,
    otherStatuses: readonly number[] = [],
  ): Promise<{ readonly status: number; readonly body: unknown }> {
    const { address, path: basePath } = this.baseUrl;
    const req = {
      method,
      target: `${basePath}${path}`,
      headers: body === undefined ? [] : ['content-type', 'application/json'],
      body: body === undefined ? undefined : Buffer.from(body),
      maxIdleMs: maxReuseIdleMs,
    };
    const bounds = { maxBytes: this.maxAnswerBytes, timeoutMs };
    const received = await receiveWhole(this.sender, address, req, bounds, this.clock);
    if (received.isErr()) {
      throw received.error;
    }
    const { head, body: bytes } = received.value;
    const isSuccess = head.status < 300;
    if (!isSuccess && !otherStatuses.includes(head.status)) {
      throw new EngineError(`engine answered ${method} ${path} with status ${head.status}`);
    }
    const decoded: unknown = JSON.parse(bytes.toString());
    return { status: head.status, body: decoded };
  }
}

/** Returns whether an error shows that the engine ended while it held the request. */
function hasEndedWithRequest(err: unknown): boolean {
  return (
    err instanceof ExchangeError &&
    err.end === CallEnd.Failed &&
    err.wasSent &&
    err.fault === ExchangeFault.Connection
  );
}

function toResult(reply: StepReply | undefined): Result<EngineOutput, EngineError> {
  if (reply === undefined || reply.error !== undefined) {
    return Err(new EngineError(reply?.error ?? 'engine reply has no result for the step'));
  }
  return Ok(reply);
}
