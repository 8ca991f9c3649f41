import { Err, Ok, type Result } from 'ts-results-es';
import type { ITimers } from '../../../base/common/clock.js';
import { IbissparError } from '../../../base/common/errors.js';
import type { AnswerBody } from './answerBody.js';
import {
  ExchangeFault,
  type AnswerHead,
  type IAnswerSink,
  type IExchange,
  type IRequestSender,
  type OutboundRequest,
} from './endpointSender.js';

/** Answer of which all bytes have arrived. */
export interface WholeAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** Why a call ended without an answer. */
export enum CallEnd {
  /** The exchange failed. */
  Failed = 'failed',
  /** The answer wasn't complete in time. */
  Timeout = 'timeout',
  /** The caller aborted the call. */
  Aborted = 'aborted',
}

/** Error of a call without a whole answer. */
export class ExchangeError extends IbissparError {
  readonly code = 'exchange';

  /**
   * @param message - What happened.
   * @param end - How the call ended.
   * @param wasSent - Whether any byte of the request may have reached its receiver.
   * @param fault - What failed; undefined unless the exchange did.
   * @param cause - Error of the connection, if there was one.
   */
  constructor(
    message: string,
    readonly end: CallEnd,
    readonly wasSent: boolean,
    readonly fault?: ExchangeFault,
    cause?: Error,
  ) {
    super(message, { cause });
  }
}

/** Bounds of one call. */
export interface CallBounds {
  /** Largest size of the answer's body, in bytes. */
  readonly maxBytes: number;
  /** Time by which the whole answer must have arrived, in milliseconds; not bounded if undefined. */
  readonly timeoutMs: number | undefined;
  /** Each of them aborts the call. */
  readonly signals?: readonly AbortSignal[];
}

type CallResult = Result<WholeAnswer, ExchangeError>;

/** Collects an answer. */
class WholeAnswerSink implements IAnswerSink {
  private head: AnswerHead | undefined;

  private body: AnswerBody | undefined;

  constructor(
    private readonly maxBytes: number,
    private readonly settle: (result: CallResult) => void,
  ) {}

  onHead(head: AnswerHead, exchange: IExchange): void {
    this.head = head;
    this.body = exchange.collect(this.maxBytes, true);
  }

  onData(chunk: Buffer): boolean {
    this.body?.append(chunk);
    return true;
  }

  onEnd(): void {
    if (this.head && this.body) {
      this.settle(Ok({ head: this.head, body: this.body.take() }));
    }
  }

  onError(reason: string, wasSent: boolean, fault: ExchangeFault, cause?: Error): void {
    this.settle(Err(new ExchangeError(reason, CallEnd.Failed, wasSent, fault, cause)));
  }
}

/**
 * Sends a request and collects its answer, bounded in size and time.
 *
 * @param sender - Sends the request.
 * @param address - `ip:port` of the receiver.
 * @param req - Request to send.
 * @param bounds - Bounds of the call.
 * @param timers - Source of timers.
 * @returns The whole answer, of any status, or why there is none.
 */
export function receiveWhole(
  sender: IRequestSender,
  address: string,
  req: OutboundRequest,
  { maxBytes, timeoutMs, signals = [] }: CallBounds,
  timers: ITimers,
): Promise<CallResult> {
  return new Promise((resolve) => {
    const end = new AbortController();
    const settle = (result: CallResult): void => {
      end.abort();
      resolve(result);
    };
    if (signals.some(({ aborted }) => aborted)) {
      settle(Err(new ExchangeError('call was cancelled', CallEnd.Aborted, false)));
      return;
    }
    const exchange = sender.send(address, req, new WholeAnswerSink(maxBytes, settle));
    const giveUp = (reason: string, how: CallEnd): void => {
      exchange.abort();
      settle(Err(new ExchangeError(reason, how, true)));
    };
    const cancelTimeout =
      timeoutMs === undefined
        ? undefined
        : timers.after(timeoutMs, () => giveUp('no answer in time', CallEnd.Timeout));
    end.signal.addEventListener('abort', () => cancelTimeout?.());
    signals.forEach((signal) =>
      signal.addEventListener('abort', () => giveUp('call was cancelled', CallEnd.Aborted), {
        signal: end.signal,
      }),
    );
  });
}
