import { Err, Ok, type Result } from 'ts-results-es';
import { Agent, request } from 'undici';
import { toErrorMessage } from '../../../base/common/errors.js';
import { CallSignal } from '../../../base/node/callSignal.js';
import { EraTracker } from '../common/eraTracker.js';
import { PlatformUnavailableError } from '../common/objects.js';

/** Call of a store. */
export interface StoreCall {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly timeoutMs: number;
  /** Each of them aborts the call. */
  readonly signals?: readonly AbortSignal[];
  /** Read that is sent on a new connection if this one gets no answer; undefined for writes. */
  readonly fallback?: StoreRead;
}

/** Read without a wait. */
export interface StoreRead {
  readonly path: string;
  readonly timeoutMs: number;
}

/** Answer of a store that is neither overloaded nor failing. */
export interface StoreReply {
  readonly status: number;
  /** Parsed JSON body; undefined if there is none. */
  readonly body: unknown;
  /** Era of the store that answered. */
  readonly era: number;
}

/** Why a call got no answer. */
export enum NoAnswer {
  /** The call was refused or its connection broke. */
  Failed = 'failed',
  /** Nothing arrived in time, or another call found the connections silent. */
  Silent = 'silent',
}

/** HTTP status of the answer to a call, or why there is none. */
export type CallOutcome = number | NoAnswer;

/** How connections to a store are opened. */
export interface StoreConnectionOptions {
  /** URL of the store without a path. */
  readonly origin: string;
  /** Header in which all answers give the era of the store. */
  readonly eraHeader: string;
  readonly maxConnections: number;
  /** Timeout for opening a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
}

/**
 * Idle time after which a connection is closed, in milliseconds. Within it, a call may be sent on a
 * connection that has fallen silent meanwhile.
 */
const maxIdleMs = 500;

/** Maximum size of an answer, in bytes; a page of a list holds about one megabyte. */
const maxAnswerBytes = 8_388_608;

type CallResult = Result<StoreReply, PlatformUnavailableError>;

/** Connections that were opened since others were found silent. */
class ConnectionGeneration {
  readonly agent: Agent;

  /** Whether the store has answered on one of the connections. */
  hasAnswered = false;

  private readonly silence = new AbortController();

  constructor({ maxConnections, connectTimeoutMs }: StoreConnectionOptions) {
    this.agent = new Agent({
      connections: maxConnections,
      connect: { timeout: connectTimeoutMs },
      keepAliveTimeout: maxIdleMs,
      keepAliveMaxTimeout: maxIdleMs,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: maxAnswerBytes,
    });
  }

  /** Aborted once the store answers on newer connections but not on these. */
  get silenced(): AbortSignal {
    return this.silence.signal;
  }

  abortReads(): void {
    this.silence.abort();
  }
}

/**
 * Sends calls to a store over a pool of connections.
 *
 * An open connection can fall silent for good while new ones work, and others of its age may have done so
 * with it. A read that gets no answer is therefore sent once more on a new connection, and no connection
 * that was open then is used again. If the store answers the second time, it was not away, and the other
 * reads that wait on the earlier connections are sent once more as well.
 */
export class StoreConnections {
  /** Follows the era that the answers give. */
  readonly eraTracker = new EraTracker();

  private generation: ConnectionGeneration;

  /** Generations whose connections are not all closed. */
  private readonly openGenerations = new Set<ConnectionGeneration>();

  /**
   * @param options - How connections are opened.
   * @param onCall - Called with the outcome of each call.
   */
  constructor(
    private readonly options: StoreConnectionOptions,
    private readonly onCall: (outcome: CallOutcome) => void,
  ) {
    this.generation = this.openGeneration();
  }

  /**
   * Sends a call.
   *
   * @param call - Call with its timeout.
   * @returns The answer, or an error if there is none, if the store can't serve the call now, or if it
   * answered from an earlier era. A write that fails may have taken effect.
   */
  async call(call: StoreCall): Promise<CallResult> {
    const { generation } = this;
    const { result, isSilent } = await this.send(call, generation);
    if (!isSilent) {
      return result;
    }
    this.replace(generation);
    if (call.fallback === undefined || !generation.hasAnswered) {
      return result;
    }
    const retried = await this.send({ ...call, ...call.fallback }, this.generation);
    if (retried.result.isOk()) {
      generation.abortReads();
    }
    return retried.result;
  }

  /** Closes all connections, aborts the calls in progress and removes every listener. */
  async close(): Promise<void> {
    this.eraTracker.close();
    await Promise.all([...this.openGenerations].map(({ agent }) => agent.destroy()));
  }

  private openGeneration(): ConnectionGeneration {
    const generation = new ConnectionGeneration(this.options);
    this.openGenerations.add(generation);
    return generation;
  }

  /** Lets later calls open new connections; those of the generation close when their calls have ended. */
  private replace(generation: ConnectionGeneration): void {
    if (generation === this.generation) {
      this.generation = this.openGeneration();
      void generation.agent.close().then(() => this.openGenerations.delete(generation));
    }
  }

  private async send(
    call: StoreCall,
    generation: ConnectionGeneration,
  ): Promise<{ readonly result: CallResult; readonly isSilent: boolean }> {
    const { signals = [], fallback, body } = call;
    const endingSignals = fallback ? [...signals, generation.silenced] : signals;
    const callSignal = new CallSignal(call.timeoutMs, endingSignals);
    try {
      const res = await request(`${this.options.origin}${call.path}`, {
        method: call.method,
        headers: {
          ...(body === undefined ? {} : { 'content-type': 'application/json' }),
          ...call.headers,
        },
        body: body === undefined ? undefined : JSON.stringify(body),
        dispatcher: generation.agent,
        signal: callSignal.signal,
      });
      const text = await res.body.text();
      generation.hasAnswered = true;
      this.onCall(res.statusCode);
      const era = this.eraTracker.read(res.headers[this.options.eraHeader]);
      return { result: this.toReply(res.statusCode, text, era), isSilent: false };
    } catch (err) {
      const isAborted = signals.some(({ aborted }) => aborted);
      const isSilent = callSignal.signal.aborted && !isAborted;
      this.onCall(isSilent ? NoAnswer.Silent : NoAnswer.Failed);
      const result = Err(new PlatformUnavailableError(toErrorMessage(err), { cause: err }));
      return { result, isSilent };
    } finally {
      callSignal.close();
    }
  }

  private toReply(status: number, text: string, era: number): CallResult {
    if (!this.eraTracker.observe(era)) {
      const currentEra = this.eraTracker.era;
      return Err(
        new PlatformUnavailableError(`store answered from era ${era}, now it is ${currentEra}`),
      );
    }
    if (status >= 500 || status === 429) {
      return Err(new PlatformUnavailableError(`store answered status ${status}`));
    }
    // Only refusals have no body; a success without one was cut off.
    if (text === '' && status >= 300) {
      return Ok({ status, body: undefined, era });
    }
    try {
      return Ok({ status, body: JSON.parse(text) as unknown, era });
    } catch (err) {
      return Err(new PlatformUnavailableError(toErrorMessage(err), { cause: err }));
    }
  }
}
