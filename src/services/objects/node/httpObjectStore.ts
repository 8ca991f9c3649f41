import { Err, Ok, type Result } from 'ts-results-es';
import { Agent, request } from 'undici';
import { toErrorMessage } from '../../../base/common/errors.js';
import {
  absentVersion,
  PlatformRefusedError,
  PlatformUnavailableError,
  VersionConflictError,
  type IObjectStore,
  type ObjectKind,
  type ReadError,
  type StoredObject,
  type WatchBatch,
  type WriteError,
} from '../common/objects.js';

interface Reply {
  readonly status: number;
  readonly body: unknown;
}

interface Call {
  readonly method: 'GET' | 'PUT';
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** Time by which the timeout of a watch call exceeds the requested wait, in milliseconds. */
const watchGraceMs = 1_000;

function objectPath(kind: string, name: string): string {
  return `/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;
}

function createRefusedError(reply: Reply): PlatformRefusedError {
  return new PlatformRefusedError(`platform answered status ${reply.status}`);
}

/** Client of the object API over HTTP. Every call has a timeout. */
export class HttpObjectStore implements IObjectStore {
  private readonly agent = new Agent({ connections: 8, connect: { timeout: 1_000 } });

  /**
   * @param baseUrl - URL of the platform, for example `http://127.0.0.1:8000`.
   * @param callTimeoutMs - Timeout of every call except a watch, in milliseconds.
   */
  constructor(
    private readonly baseUrl: string,
    private readonly callTimeoutMs: number,
  ) {}

  async get<T>(
    kind: ObjectKind,
    name: string,
  ): Promise<Result<StoredObject<T> | undefined, ReadError>> {
    const reply = await this.call({
      method: 'GET',
      path: objectPath(kind, name),
      timeoutMs: this.callTimeoutMs,
    });
    return reply.andThen((answer) => {
      if (answer.status === 404) {
        return Ok(undefined);
      }
      return answer.status === 200
        ? Ok(answer.body as StoredObject<T>)
        : Err(createRefusedError(answer));
    });
  }

  async list<T>(kind: ObjectKind): Promise<Result<readonly StoredObject<T>[], ReadError>> {
    const reply = await this.call({
      method: 'GET',
      path: `/objects/${kind}`,
      timeoutMs: this.callTimeoutMs,
    });
    return reply.andThen((answer) =>
      answer.status === 200
        ? Ok((answer.body as { items: StoredObject<T>[] }).items)
        : Err(createRefusedError(answer)),
    );
  }

  async put<T>(
    kind: ObjectKind,
    name: string,
    value: T,
    version: number,
  ): Promise<Result<number, WriteError>> {
    const condition: Record<string, string> =
      version === absentVersion ? { 'if-none-match': '*' } : { 'if-match': String(version) };
    const reply = await this.call({
      method: 'PUT',
      path: objectPath(kind, name),
      headers: { 'content-type': 'application/json', ...condition },
      body: JSON.stringify(value),
      timeoutMs: this.callTimeoutMs,
    });
    return reply.andThen((answer): Result<number, WriteError> => {
      if (answer.status === 412) {
        return Err(new VersionConflictError(`${kind}/${name} is no longer at version ${version}`));
      }
      return answer.status === 200
        ? Ok((answer.body as { version: number }).version)
        : Err(createRefusedError(answer));
    });
  }

  async watch(
    kind: ObjectKind,
    sequence: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<WatchBatch, ReadError>> {
    const reply = await this.call({
      method: 'GET',
      path: `/watch/${kind}?after=${sequence}&waitMs=${waitMs}`,
      timeoutMs: waitMs + watchGraceMs,
      signal,
    });
    return reply.andThen((answer) =>
      answer.status === 200 ? Ok(answer.body as WatchBatch) : Err(createRefusedError(answer)),
    );
  }

  /**
   * Reads a resource of the platform that is not an object.
   *
   * @param path - Path below the base URL, with the leading slash.
   * @returns The decoded JSON body.
   */
  async read<T>(path: string): Promise<Result<T, ReadError>> {
    const reply = await this.call({ method: 'GET', path, timeoutMs: this.callTimeoutMs });
    return reply.andThen((answer) =>
      answer.status === 200 ? Ok(answer.body as T) : Err(createRefusedError(answer)),
    );
  }

  /** Closes the connections; calls that are in progress fail. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async call(call: Call): Promise<Result<Reply, PlatformUnavailableError>> {
    const timeoutSignal = AbortSignal.timeout(call.timeoutMs);
    try {
      const res = await request(`${this.baseUrl}${call.path}`, {
        method: call.method,
        headers: call.headers,
        body: call.body,
        dispatcher: this.agent,
        signal: call.signal ? AbortSignal.any([timeoutSignal, call.signal]) : timeoutSignal,
      });
      const body: unknown = await res.body.json();
      if (res.statusCode >= 500 || res.statusCode === 429) {
        return Err(new PlatformUnavailableError(`platform answered status ${res.statusCode}`));
      }
      return Ok({ status: res.statusCode, body });
    } catch (err) {
      return Err(new PlatformUnavailableError(toErrorMessage(err), { cause: err }));
    }
  }
}
