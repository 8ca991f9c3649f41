import { Err, Ok, type Result } from 'ts-results-es';
import type { IClock, ITimers } from '../../base/common/clock.js';
import { IbissparError, toErrorMessage } from '../../base/common/errors.js';
import {
  createSeparateIntake,
  type AnswerIntake,
} from '../../services/exchange/node/answerIntake.js';
import { splitBaseUrl, type BaseUrl } from '../../services/exchange/node/baseUrl.js';
import { EndpointSender } from '../../services/exchange/node/endpointSender.js';
import { receiveWhole } from '../../services/exchange/node/wholeAnswer.js';
import type { Problem } from '../../services/problem/common/problem.js';

/** Error of a call that the administration API refused or did not answer. */
export class AdminError extends IbissparError {
  readonly code = 'admin-call-failed';

  /**
   * @param message - Description of the error.
   * @param details - Problem details with their extension members; undefined if the API sent none.
   */
  constructor(
    message: string,
    readonly details: (Problem & Readonly<Record<string, unknown>>) | undefined,
  ) {
    super(message);
  }
}

/** Timeout of a call, in milliseconds. */
const callTimeoutMs = 15_000;

/** Maximum size of an answer, in bytes; the rules of all organisations take some megabytes. */
const maxAnswerBytes = 16_777_216;

/** Memory for answers, in megabytes; one of the largest size has room beside small ones. */
const answerMemoryMb = 24;

/** Maximum number of calls at the same time. */
const maxConnections = 8;

/** Longest idle time after which a connection is used again, in milliseconds. */
const maxReuseIdleMs = 3_000;

/** Client of the administration API of an entry. */
export class AdminClient {
  private readonly baseUrl: BaseUrl;

  private readonly intake: AnswerIntake;

  private readonly sender: EndpointSender;

  /**
   * @param baseUrl - Base URL of any entry.
   * @param key - Administration key.
   * @param clock - Source of time and timers.
   * @throws TypeError if the base URL is none.
   */
  constructor(
    baseUrl: string,
    private readonly key: string,
    private readonly clock: IClock & ITimers,
  ) {
    this.baseUrl = splitBaseUrl(baseUrl);
    const { protocol } = this.baseUrl;
    // The error of a call says why its answer was given up.
    const logger = { log: () => undefined };
    this.intake = createSeparateIntake(answerMemoryMb, () => undefined, clock, logger);
    this.sender = new EndpointSender({ maxConnections, intake: this.intake, protocol }, clock);
  }

  /** Reads a resource of the API; `path` is relative to `/admin/v1/`. */
  get<T>(path: string): Promise<Result<T, AdminError>> {
    return this.call<T>('GET', path, undefined);
  }

  /** Writes a resource of the API; `path` is relative to `/admin/v1/`. */
  put<T>(path: string, body: unknown): Promise<Result<T, AdminError>> {
    return this.call<T>('PUT', path, body);
  }

  /** Closes the connections; calls in progress fail. */
  async close(): Promise<void> {
    this.intake.close();
    await this.sender.close();
  }

  private async call<T>(
    method: 'GET' | 'PUT',
    path: string,
    body: unknown,
  ): Promise<Result<T, AdminError>> {
    const { address, path: basePath } = this.baseUrl;
    const received = await receiveWhole(
      this.sender,
      address,
      {
        method,
        target: `${basePath}/admin/v1/${path}`,
        headers: ['authorization', `Bearer ${this.key}`, 'content-type', 'application/json'],
        body: body === undefined ? undefined : Buffer.from(JSON.stringify(body)),
        maxIdleMs: maxReuseIdleMs,
      },
      { maxBytes: maxAnswerBytes, timeoutMs: callTimeoutMs },
      this.clock,
    );
    if (received.isErr()) {
      return Err(new AdminError(received.error.message, undefined));
    }
    const { head, body: bytes } = received.value;
    try {
      const decoded: unknown = JSON.parse(bytes.toString());
      if (head.status === 200) {
        return Ok(decoded as T);
      }
      const details = decoded as Problem & Record<string, unknown>;
      return Err(new AdminError(details.detail, details));
    } catch (err) {
      return Err(new AdminError(toErrorMessage(err), undefined));
    }
  }
}
