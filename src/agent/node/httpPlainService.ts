import { Err, Ok, type Result } from 'ts-results-es';
import { Agent, request } from 'undici';
import { toErrorMessage } from '../../base/common/errors.js';
import { Emitter } from '../../base/common/event.js';
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

/** Error codes which prove that no byte of the request reached the service. */
const notReachedCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

/** Error code of an answer that exceeds its maximum size. */
const oversizedCode = 'UND_ERR_RES_EXCEEDED_MAX_SIZE';

/** Maximum size of the head of an answer, in bytes. */
const maxHeadBytes = 16_384;

/** A call without a whole answer. */
export interface FailedCall {
  readonly attempt: string;
  readonly reason: string;
}

/** Plain service reached over HTTP. */
export class HttpPlainService implements IPlainService {
  private readonly httpAgent: Agent;

  private readonly failedCalls = new Emitter<FailedCall>();

  /** Fires for each call without a whole answer, unless it was cancelled. */
  readonly onDidFailCall = this.failedCalls.event;

  /**
   * @param baseUrl - Base URL of the service, for example `http://127.0.0.1:9000`.
   * @param maxAnswerBytes - Size past which an answer is broken off, in bytes.
   */
  constructor(
    private readonly baseUrl: string,
    private readonly maxAnswerBytes: number,
  ) {
    this.httpAgent = new Agent({
      connections: 64,
      connect: { timeout: 1_000 },
      maxHeaderSize: maxHeadBytes,
      maxResponseSize: maxAnswerBytes,
    });
  }

  async call(
    message: CallMessage,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, ServiceCallError>> {
    const timeoutSignal = AbortSignal.timeout(Math.max(1, Math.ceil(message.remainingMs)));
    try {
      const res = await request(`${this.baseUrl}${message.path}`, {
        method: message.method,
        headers: Object.fromEntries(message.headers),
        body: message.body.length > 0 ? message.body : undefined,
        dispatcher: this.httpAgent,
        signal: AbortSignal.any([timeoutSignal, signal]),
      });
      const body = new Uint8Array(await res.body.arrayBuffer());
      return Ok({ status: res.statusCode, headers: endToEndHeaders(res.headers), body });
    } catch (err) {
      const code = (err as { code?: string }).code ?? '';
      const run = notReachedCodes.has(code) ? RunState.NotRun : RunState.Unknown;
      const reason =
        code === oversizedCode
          ? `answer exceeds ${this.maxAnswerBytes} bytes`
          : toErrorMessage(err);
      if (!signal.aborted) {
        this.failedCalls.fire({ attempt: message.attempt, reason });
      }
      return Err(new ServiceCallError(reason, run));
    }
  }

  /**
   * Checks whether the service answers HTTP requests.
   *
   * @param timeoutMs - Timeout of the check, in milliseconds.
   * @returns True if a response of any status arrived in time.
   */
  async isReachable(timeoutMs: number): Promise<boolean> {
    try {
      const signal = AbortSignal.timeout(timeoutMs);
      const res = await request(this.baseUrl, {
        method: 'HEAD',
        dispatcher: this.httpAgent,
        signal,
      });
      await res.body.dump();
      return true;
    } catch {
      return false;
    }
  }

  /** Closes the connections and removes every listener. */
  async close(): Promise<void> {
    this.failedCalls.close();
    await this.httpAgent.destroy();
  }
}

function endToEndHeaders(
  headers: Record<string, string | string[] | undefined>,
): readonly Header[] {
  return Object.entries(headers).flatMap(([name, value]): Header[] => {
    if (value === undefined || hopByHopHeaders.has(name)) {
      return [];
    }
    return [value].flat().map((item): Header => [name, item]);
  });
}
