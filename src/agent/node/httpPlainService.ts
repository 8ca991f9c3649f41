import { Err, Ok, type Result } from 'ts-results-es';
import type { IClock, ITimers } from '../../base/common/clock.js';
import { Emitter } from '../../base/common/event.js';
import { HeldAnswers } from '../../services/exchange/common/heldAnswers.js';
import { BoundedBody } from '../../services/exchange/common/boundedBody.js';
import type { HeaderMap } from '../../services/exchange/common/headerMap.js';
import {
  EndpointSender,
  type AnswerHead,
  type IAnswerSink,
  type IExchange,
} from '../../services/exchange/node/endpointSender.js';
import type { CallMessage, Header, ServiceAnswer } from '../../services/link/common/messages.js';
import { RunState } from '../../services/problem/common/problem.js';
import { ServiceCallError, type IPlainService } from '../calls/common/callRunner.js';

/** Headers that apply to one connection only and are not forwarded. */
const hopByHopHeaders = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
]);

/** Longest idle time after which a connection is used again, in milliseconds. */
const maxReuseIdleMs = 3_000;

/** A call without a whole answer. */
export interface FailedCall {
  readonly attempt: string;
  readonly reason: string;
}

/** Collects the answer to one call. */
class ServiceAnswerSink implements IAnswerSink {
  private readonly body: BoundedBody;

  private head: AnswerHead | undefined;

  private settle: (answer: Result<ServiceAnswer, ServiceCallError>) => void = () => undefined;

  /** Resolves with the whole answer, or with the first error. */
  readonly answer = new Promise<Result<ServiceAnswer, ServiceCallError>>((resolve) => {
    this.settle = resolve;
  });

  /**
   * @param maxBytes - Maximum size of the body, in bytes.
   * @param held - Counts what is kept.
   * @param onOversized - Called with an error message if the body is larger.
   */
  constructor(
    private readonly maxBytes: number,
    held: HeldAnswers,
    private readonly onOversized: (reason: string) => void,
  ) {
    this.body = new BoundedBody(maxBytes, held);
  }

  onHead(head: AnswerHead): void {
    this.head = head;
  }

  onData(chunk: Buffer): boolean {
    if (!this.body.append(chunk)) {
      this.onOversized(`answer exceeds ${this.maxBytes} bytes`);
    }
    return true;
  }

  onEnd(): void {
    if (this.head) {
      const { status, headers } = this.head;
      const body = new Uint8Array(this.body.toBuffer());
      this.body.close();
      this.settle(Ok({ status, headers: endToEndHeaders(headers), body }));
    }
  }

  onError(reason: string, wasSent: boolean): void {
    this.body.close();
    const run = wasSent ? RunState.Unknown : RunState.NotRun;
    this.settle(Err(new ServiceCallError(reason, run)));
  }
}

/** Plain service reached over HTTP. */
export class HttpPlainService implements IPlainService {
  private readonly sender: EndpointSender;

  private readonly address: string;

  private readonly basePath: string;

  private readonly held = new HeldAnswers();

  private readonly failedCalls = new Emitter<FailedCall>();

  /** Fires for each call without a whole answer, unless it was cancelled. */
  readonly onDidFailCall = this.failedCalls.event;

  /**
   * @param baseUrl - Base URL of the service, for example `http://127.0.0.1:9000`.
   * @param maxAnswerBytes - Size past which an answer is broken off, in bytes.
   * @param clock - Source of time and timers.
   */
  constructor(
    baseUrl: string,
    private readonly maxAnswerBytes: number,
    private readonly clock: IClock & ITimers,
  ) {
    const { host, pathname, protocol } = new URL(baseUrl);
    this.address = host;
    this.basePath = pathname.replace(/\/$/, '');
    // The number of calls in progress is bounded by those who make them.
    this.sender = new EndpointSender(Number.POSITIVE_INFINITY, clock, protocol);
  }

  async call(
    message: CallMessage,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, ServiceCallError>> {
    if (signal.aborted) {
      return Err(new ServiceCallError('call was cancelled', RunState.NotRun));
    }
    const { method, path, remainingMs } = message;
    const body = message.body.length > 0 ? Buffer.from(message.body) : undefined;
    const sink = new ServiceAnswerSink(this.maxAnswerBytes, this.held, (reason) => giveUp(reason));
    const exchange = this.send(method, path, message.headers.flat(), body, sink);
    function giveUp(reason: string): void {
      exchange.abort();
      sink.onError(reason, true);
    }
    const handleAbort = () => giveUp('call was cancelled');
    const timeoutMs = Math.max(1, Math.ceil(remainingMs));
    const cancelTimeout = this.clock.after(timeoutMs, () => giveUp('no answer in time'));
    signal.addEventListener('abort', handleAbort);
    const answer = await sink.answer;
    signal.removeEventListener('abort', handleAbort);
    cancelTimeout();
    if (answer.isErr() && !signal.aborted) {
      this.failedCalls.fire({ attempt: message.attempt, reason: answer.error.message });
    }
    return answer;
  }

  /**
   * Checks whether the service answers HTTP requests.
   *
   * @param timeoutMs - Timeout of the check, in milliseconds.
   * @returns True if a response of any status arrived in time.
   */
  isReachable(timeoutMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      const exchange = this.send('HEAD', '/', [], undefined, {
        onHead: () => finish(true),
        onData: () => true,
        onEnd: () => undefined,
        onError: () => finish(false),
      });
      const cancelTimeout = this.clock.after(timeoutMs, () => {
        exchange.abort();
        resolve(false);
      });
      function finish(isReachable: boolean): void {
        cancelTimeout();
        resolve(isReachable);
      }
    });
  }

  /** Closes the connections and removes every listener. */
  async close(): Promise<void> {
    this.failedCalls.close();
    await this.sender.close();
  }

  private send(
    method: string,
    path: string,
    headers: string[],
    body: Buffer | undefined,
    sink: IAnswerSink,
  ): IExchange {
    const target = `${this.basePath}${path}`;
    const req = { method, target, headers, body, maxIdleMs: maxReuseIdleMs };
    return this.sender.send(this.address, req, sink);
  }
}

function endToEndHeaders(headers: HeaderMap): readonly Header[] {
  return Object.entries(headers).flatMap(([name, value]): Header[] => {
    if (value === undefined || hopByHopHeaders.has(name)) {
      return [];
    }
    return [value].flat().map((item): Header => [name, item]);
  });
}
