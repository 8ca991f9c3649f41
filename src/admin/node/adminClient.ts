import { Err, Ok, type Result } from 'ts-results-es';
import { request } from 'undici';
import { IbissparError, toErrorMessage } from '../../base/common/errors.js';
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

/** Client of the administration API of an entry. */
export class AdminClient {
  /**
   * @param baseUrl - Base URL of any entry.
   * @param key - Administration key.
   */
  constructor(
    private readonly baseUrl: string,
    private readonly key: string,
  ) {}

  /** Reads a resource of the API; `path` is relative to `/admin/v1/`. */
  get<T>(path: string): Promise<Result<T, AdminError>> {
    return this.call<T>('GET', path, undefined);
  }

  /** Writes a resource of the API; `path` is relative to `/admin/v1/`. */
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
        signal: AbortSignal.timeout(callTimeoutMs),
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
