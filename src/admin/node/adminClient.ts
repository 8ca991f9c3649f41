import { Err, Ok, type Result } from 'ts-results-es';
import { request } from 'undici';
import { IbissparError, toErrorMessage } from '../../base/common/errors.js';
import type { Problem } from '../../services/problem/common/problem.js';

/** The administration API refused a call or could not be reached. */
export class AdminError extends IbissparError {
  readonly code = 'admin-call-failed';

  /**
   * @param message - What went wrong.
   * @param details - Problem details with their extension members, if the API sent any.
   */
  constructor(
    message: string,
    readonly details: (Problem & Readonly<Record<string, unknown>>) | undefined,
  ) {
    super(message);
  }
}

/** Time limit of a call, in milliseconds. */
const callLimitMs = 15_000;

/** Client of the administration API of an entry. */
export class AdminClient {
  /**
   * @param baseUrl - URL of any entry.
   * @param key - Administration key.
   */
  constructor(
    private readonly baseUrl: string,
    private readonly key: string,
  ) {}

  /** Reads a page of the API. */
  get<T>(path: string): Promise<Result<T, AdminError>> {
    return this.call<T>('GET', path, undefined);
  }

  /** Sends a change to the API. */
  put<T>(path: string, body: unknown): Promise<Result<T, AdminError>> {
    return this.call<T>('PUT', path, body);
  }

  private async call<T>(
    method: 'GET' | 'PUT',
    path: string,
    body: unknown,
  ): Promise<Result<T, AdminError>> {
    try {
      const res = await request(`${this.baseUrl}/admin/v1/${path}`, {
        method,
        signal: AbortSignal.timeout(callLimitMs),
        headers: { authorization: `Bearer ${this.key}`, 'content-type': 'application/json' },
        body: body === undefined ? undefined : JSON.stringify(body),
      });
      const decoded = await res.body.json();
      if (res.statusCode === 200) {
        return Ok(decoded as T);
      }
      const details = decoded as Problem & Record<string, unknown>;
      return Err(new AdminError(details.detail, details));
    } catch (err) {
      return Err(new AdminError(toErrorMessage(err), undefined));
    }
  }
}
