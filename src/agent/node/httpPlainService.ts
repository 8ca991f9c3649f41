import { Err, type Result } from 'ts-results-es';
import type { IClock, ITimers } from '../../base/common/clock.js';
import { Emitter } from '../../base/common/event.js';
import type { HeaderMap } from '../../services/exchange/common/headerMap.js';
import type { AnswerIntake } from '../../services/exchange/node/answerIntake.js';
import { splitBaseUrl } from '../../services/exchange/node/baseUrl.js';
import {
  EndpointSender,
  type OutboundRequest,
} from '../../services/exchange/node/endpointSender.js';
import { receiveWhole } from '../../services/exchange/node/wholeAnswer.js';
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

/** Plain service reached over HTTP. */
export class HttpPlainService implements IPlainService {
  private readonly sender: EndpointSender;

  private readonly address: string;

  private readonly basePath: string;

  private readonly failedCalls = new Emitter<FailedCall>();

  /** Fires for each call without a whole answer, unless it was cancelled. */
  readonly onDidFailCall = this.failedCalls.event;

  /**
   * @param baseUrl - Base URL of the service, for example `http://127.0.0.1:9000`.
   * @param maxAnswerBytes - Size past which an answer is broken off, in bytes.
   * @param intake - Bounds what the answers make the process hold.
   * @param clock - Source of time and timers.
   */
  constructor(
    baseUrl: string,
    private readonly maxAnswerBytes: number,
    intake: AnswerIntake,
    private readonly clock: IClock & ITimers,
  ) {
    const { address, path, protocol } = splitBaseUrl(baseUrl);
    this.address = address;
    this.basePath = path;
    // The number of calls in progress is bounded by those who make them.
    const maxConnections = Number.POSITIVE_INFINITY;
    this.sender = new EndpointSender({ maxConnections, intake, protocol }, clock);
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
    const req = this.createRequest(method, path, message.headers.flat(), body);
    const timeoutMs = Math.max(1, Math.ceil(remainingMs));
    const bounds = { maxBytes: this.maxAnswerBytes, timeoutMs, signals: [signal] };
    const received = await receiveWhole(this.sender, this.address, req, bounds, this.clock);
    const answer = received
      .map(({ head, body: bytes }) => ({
        status: head.status,
        headers: endToEndHeaders(head.headers),
        body: new Uint8Array(bytes.buffer, bytes.byteOffset, bytes.length),
      }))
      .mapErr(
        ({ message: reason, wasSent }) =>
          new ServiceCallError(reason, wasSent ? RunState.Unknown : RunState.NotRun),
      );
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
  async isReachable(timeoutMs: number): Promise<boolean> {
    const req = this.createRequest('HEAD', '/', [], undefined);
    const bounds = { maxBytes: this.maxAnswerBytes, timeoutMs };
    const answer = await receiveWhole(this.sender, this.address, req, bounds, this.clock);
    return answer.isOk();
  }

  /** Closes the connections and removes every listener. */
  async close(): Promise<void> {
    this.failedCalls.close();
    await this.sender.close();
  }

  private createRequest(
    method: string,
    path: string,
    headers: string[],
    body: Buffer | undefined,
  ): OutboundRequest {
    const target = `${this.basePath}${path}`;
    return { method, target, headers, body, maxIdleMs: maxReuseIdleMs };
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
