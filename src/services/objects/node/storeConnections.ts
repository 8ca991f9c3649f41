import { Err, Ok, type Result } from 'ts-results-es';
import type { IClock, ITimers } from '../../../base/common/clock.js';
import { toErrorMessage } from '../../../base/common/errors.js';
import type { ILogger } from '../../../base/common/logger.js';
import type { AnswerCut } from '../../exchange/common/answerCut.js';
import { createSeparateIntake, type AnswerIntake } from '../../exchange/node/answerIntake.js';
import { splitBaseUrl, type BaseUrl } from '../../exchange/node/baseUrl.js';
import { QueuedSender } from '../../exchange/node/queuedSender.js';
import { CallEnd, receiveWhole } from '../../exchange/node/wholeAnswer.js';
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
  /** Maximum number of calls in progress; further ones wait. */
  readonly maxConnections: number;
  /** Bounds what the answers make the process hold, see {@link createStoreIntake}. */
  readonly intake: AnswerIntake;
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

/** Memory for the answers of a store, in megabytes; an answer of the largest size has room beside small ones. */
const storeMemoryMb = 12;

/** Maximum number of calls that wait for others to end. */
const maxWaitingCalls = 1_024;

type CallResult = Result<StoreReply, PlatformUnavailableError>;

/** Connections that were opened since others were found silent. */
class ConnectionGeneration {
  readonly sender: QueuedSender;

  /** Whether the store has answered on one of the connections. */
  hasAnswered = false;

  private readonly silence = new AbortController();

  constructor(
    { maxConnections, connectTimeoutMs, intake }: StoreConnectionOptions,
    protocol: string,
  ) {
    const options = {
      maxExchanges: maxConnections,
      maxWaiting: maxWaitingCalls,
      intake,
      protocol,
      connectTimeoutMs,
      idleTimeoutMs: maxIdleMs,
    };
    this.sender = new QueuedSender(options, intake.clock);
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

  private readonly baseUrl: BaseUrl;

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
    this.baseUrl = splitBaseUrl(options.origin);
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
    await Promise.all([...this.openGenerations].map(({ sender }) => sender.close()));
  }

  private openGeneration(): ConnectionGeneration {
    const generation = new ConnectionGeneration(this.options, this.baseUrl.protocol);
    this.openGenerations.add(generation);
    return generation;
  }

  /** Lets later calls open new connections; those of the generation close when their calls have ended. */
  private replace(generation: ConnectionGeneration): void {
    if (generation === this.generation) {
      this.generation = this.openGeneration();
      void generation.sender.closeWhenIdle().then(() => this.openGenerations.delete(generation));
    }
  }

  private async send(
    call: StoreCall,
    generation: ConnectionGeneration,
  ): Promise<{ readonly result: CallResult; readonly isSilent: boolean }> {
    const { signals = [], fallback, body } = call;
    const { address, path } = this.baseUrl;
    const headers = {
      ...(body === undefined ? {} : { 'content-type': 'application/json' }),
      ...call.headers,
    };
    const received = await receiveWhole(
      generation.sender,
      address,
      {
        method: call.method,
        target: `${path}${call.path}`,
        headers: Object.entries(headers).flat(),
        body: body === undefined ? undefined : Buffer.from(JSON.stringify(body)),
        maxIdleMs,
      },
      {
        maxBytes: maxAnswerBytes,
        timeoutMs: call.timeoutMs,
        signals: fallback ? [...signals, generation.silenced] : signals,
      },
      this.options.intake.clock,
    );
    if (received.isErr()) {
      const { message, end } = received.error;
      const isSilent = end !== CallEnd.Failed && !signals.some(({ aborted }) => aborted);
      this.onCall(isSilent ? NoAnswer.Silent : NoAnswer.Failed);
      const error = new PlatformUnavailableError(message, { cause: received.error });
      return { result: Err(error), isSilent };
    }
    const { head, body: bytes } = received.value;
    generation.hasAnswered = true;
    this.onCall(head.status);
    const era = this.eraTracker.read(head.headers[this.options.eraHeader]);
    return { result: this.toReply(head.status, bytes.toString(), era), isSilent: false };
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

/**
 * Creates the intake of a store's answers. It is their own, so that a flood of answers of others can't keep the
 * configuration from being read.
 *
 * @param countCut - Counts an answer that was given up.
 * @param clock - Source of time and of timers.
 * @param logger - Receives a line for each answer that was given up, limited in number.
 * @returns The intake; to be closed by the program.
 */
export function createStoreIntake(
  countCut: (cut: AnswerCut) => void,
  clock: IClock & ITimers,
  logger: ILogger,
): AnswerIntake {
  return createSeparateIntake(storeMemoryMb, countCut, clock, logger);
}
