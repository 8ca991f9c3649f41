import { Err, Ok, type Result } from 'ts-results-es';
import { Agent, request } from 'undici';
import { toErrorMessage } from '../../base/common/errors.js';
import { Emitter } from '../../base/common/event.js';
import type { OrderMessage } from '../../services/link/common/messages.js';
import type { AcceleratorKind, LayerRange } from '../../services/model/common/model.js';
import {
  EngineError,
  type EngineOutput,
  type EngineStep,
  type IStageEngine,
} from '../stage/common/stageContracts.js';

/** State that an engine reports of itself. */
export interface EngineState {
  readonly accelerator: AcceleratorKind;
  readonly memoryMiB: number;
  readonly layerMicros: number;
  readonly capacity: number;
  /** Loaded model; empty while nothing is loaded. */
  readonly model: string;
  readonly range: LayerRange;
  readonly queued: number;
  readonly sequences: number;
  readonly cacheEvents: readonly string[];
}

interface StepReply extends EngineOutput {
  readonly error?: string;
}

interface Waiting {
  readonly step: EngineStep;
  readonly resolve: (result: Result<EngineOutput, EngineError>) => void;
}

/** Time limits of calls to an engine, in milliseconds. */
export interface EngineLimits {
  /** Limit for a batch of steps. */
  readonly stepMs: number;
  /** Limit for reading the state. */
  readonly stateMs: number;
}

/** Model engine reached over HTTP; steps that gather in one turn of the loop share a call. */
export class HttpStageEngine implements IStageEngine {
  private readonly agent = new Agent({ connections: 16, connect: { timeout: 1_000 } });

  private readonly failures = new Emitter<string>();

  private waiting: Waiting[] = [];

  /** Grows with each crash of the engine, so that all its failed steps share an id. */
  private crashes = 0;

  /** False from a failed call until the state can be read again. */
  answering = false;

  /** Fires with a reason when a call to the engine failed. */
  readonly onDidFail = this.failures.event;

  /**
   * @param name - Incarnation of the agent; begins the ids of crashes.
   * @param baseUrl - For example `http://127.0.0.1:9000`.
   * @param limits - Time limits.
   */
  constructor(
    private readonly name: string,
    private readonly baseUrl: string,
    private readonly limits: EngineLimits,
  ) {}

  run(step: EngineStep): Promise<Result<EngineOutput, EngineError>> {
    return new Promise((resolve) => {
      if (this.waiting.length === 0) {
        setImmediate(() => void this.sendBatch());
      }
      this.waiting.push({ step, resolve });
    });
  }

  drop(sequence: string): void {
    const path = `/sequences/${encodeURIComponent(sequence)}`;
    void this.call('DELETE', path, undefined, this.limits.stateMs).catch(() => undefined);
  }

  /**
   * Reads the engine's state.
   *
   * @param cacheAfter - Index of the first cache event wanted.
   * @returns The state, or undefined if the engine does not answer in time.
   */
  async state(cacheAfter: number): Promise<EngineState | undefined> {
    try {
      const path = `/state?cacheAfter=${cacheAfter}`;
      const reply = await this.call('GET', path, undefined, this.limits.stateMs);
      this.answering = true;
      return reply.body as EngineState;
    } catch {
      this.crashId();
      return undefined;
    }
  }

  /**
   * Passes an order on; returns once the weights are loaded.
   *
   * @param order - The order.
   * @param layerMiB - Memory of one layer, in MiB.
   * @returns True if the engine obeyed.
   */
  async order(order: OrderMessage, layerMiB: number): Promise<boolean> {
    const { term, model, version, range } = order;
    const body = JSON.stringify({ term, model, version, range, layerMiB });
    try {
      const reply = await this.call('PUT', '/order', body, undefined);
      return reply.status === 200;
    } catch {
      return false;
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    this.failures.close();
    await this.agent.destroy();
  }

  private crashId(): string {
    if (this.answering) {
      this.answering = false;
      this.crashes += 1;
    }
    return `${this.name}#${this.crashes}`;
  }

  private async sendBatch(): Promise<void> {
    const batch = this.waiting;
    this.waiting = [];
    const wasAnswering = this.answering;
    const body = JSON.stringify({ steps: batch.map((waiting) => waiting.step) });
    try {
      const reply = await this.call('POST', '/steps', body, this.limits.stepMs);
      const { replies } = reply.body as { replies: StepReply[] };
      batch.forEach((waiting, index) => waiting.resolve(resultOf(replies[index])));
    } catch (err) {
      // Steps that were sent to an engine already known to be dead did not run when it died.
      const crash = wasAnswering ? this.crashId() : undefined;
      const error = new EngineError(toErrorMessage(err), crash);
      this.failures.fire(error.message);
      batch.forEach((waiting) => waiting.resolve(Err(error)));
    }
  }

  private async call(
    method: 'GET' | 'POST' | 'PUT' | 'DELETE',
    path: string,
    body: string | undefined,
    limitMs: number | undefined,
  ): Promise<{ readonly status: number; readonly body: unknown }> {
    const res = await request(`${this.baseUrl}${path}`, {
      method,
      headers: body === undefined ? {} : { 'content-type': 'application/json' },
      body,
      dispatcher: this.agent,
      signal: limitMs === undefined ? undefined : AbortSignal.timeout(limitMs),
      headersTimeout: limitMs ?? 0,
    });
    const decoded: unknown = await res.body.json();
    if (res.statusCode >= 500) {
      throw new EngineError(`engine answered status ${res.statusCode}`);
    }
    return { status: res.statusCode, body: decoded };
  }
}

function resultOf(reply: StepReply | undefined): Result<EngineOutput, EngineError> {
  if (reply === undefined || reply.error !== undefined) {
    return Err(new EngineError(reply?.error ?? 'the engine left a step unanswered'));
  }
  return Ok(reply);
}
