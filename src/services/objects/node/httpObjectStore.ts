import { Err, Ok, type Result } from 'ts-results-es';
import { Agent, request } from 'undici';
import { toErrorMessage } from '../../../base/common/errors.js';
import { eraOf, EraTracker, revisionOf, toVersion } from '../common/eraTracker.js';
import {
  absentVersion,
  PlatformRefusedError,
  PlatformUnavailableError,
  VersionConflictError,
  type IObjectStore,
  type IStoreEra,
  type ObjectKind,
  type ReadError,
  type StoredObject,
  type WatchBatch,
  type WriteError,
} from '../common/objects.js';

interface Reply {
  readonly status: number;
  readonly body: unknown;
  /** Era of the platform that answered. */
  readonly era: number;
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

function withEra<T>(object: StoredObject<T>, era: number): StoredObject<T> {
  return { ...object, version: toVersion(era, object.version) };
}

/** Header in which all answers give the era of the objects. */
const eraHeader = 'platform-era';

/**
 * Client of the object API over HTTP. Every call has a timeout. The versions and sequence numbers that it
 * hands out include the era of the platform.
 */
export class HttpObjectStore implements IObjectStore, IStoreEra {
  private readonly eraTracker = new EraTracker();

  readonly onDidChangeEra = this.eraTracker.onDidChange;

  private readonly agent = new Agent({ connections: 8, connect: { timeout: 1_000 } });

  /**
   * @param baseUrl - URL of the platform, for example `http://127.0.0.1:8000`.
   * @param callTimeoutMs - Timeout of every call except a watch, in milliseconds.
   */
  constructor(
    private readonly baseUrl: string,
    private readonly callTimeoutMs: number,
  ) {}

  get era(): number {
    return this.eraTracker.era;
  }

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
        ? Ok(withEra(answer.body as StoredObject<T>, answer.era))
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
        ? Ok(
            (answer.body as { items: StoredObject<T>[] }).items.map((item) =>
              withEra(item, answer.era),
            ),
          )
        : Err(createRefusedError(answer)),
    );
  }

  async put<T>(
    kind: ObjectKind,
    name: string,
    value: T,
    version: number,
  ): Promise<Result<number, WriteError>> {
    const isNew = version === absentVersion;
    if (!isNew && eraOf(version) !== this.era) {
      return Err(new VersionConflictError(`${kind}/${name} was read in era ${eraOf(version)}`));
    }
    const eraAtSend = this.era;
    const condition: Record<string, string> = isNew
      ? { 'if-none-match': '*' }
      : { 'if-match': String(revisionOf(version)) };
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
      if (answer.status !== 200) {
        return Err(createRefusedError(answer));
      }
      // The version of its condition may have meant another content in the era that executed it.
      return answer.era !== eraAtSend && eraAtSend > 0
        ? Err(new PlatformUnavailableError('the era of the platform changed during the write'))
        : Ok(toVersion(answer.era, (answer.body as { version: number }).version));
    });
  }

  async watch(
    kind: ObjectKind,
    sequence: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<WatchBatch, ReadError>> {
    const { era } = this;
    const after = eraOf(sequence) === era ? revisionOf(sequence) : 0;
    const reply = await this.call({
      method: 'GET',
      path: `/watch/${kind}?after=${after}&waitMs=${waitMs}`,
      timeoutMs: waitMs + watchGraceMs,
      signal,
    });
    return reply.andThen((answer): Result<WatchBatch, ReadError> => {
      if (answer.status !== 200) {
        return Err(createRefusedError(answer));
      }
      const batch = answer.body as WatchBatch;
      // After a change of era, the next watch begins anew and names all objects.
      return era > 0 && answer.era !== era
        ? Ok({ ...batch, sequence: 0 })
        : Ok({ ...batch, sequence: toVersion(answer.era, batch.sequence) });
    });
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

  /** Closes the connections and removes every listener; calls that are in progress fail. */
  async close(): Promise<void> {
    this.eraTracker.close();
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
      const era = this.eraTracker.read(res.headers[eraHeader]);
      if (!this.eraTracker.observe(era)) {
        return Err(
          new PlatformUnavailableError(`platform answered from era ${era}, now it is ${this.era}`),
        );
      }
      if (res.statusCode >= 500 || res.statusCode === 429) {
        return Err(new PlatformUnavailableError(`platform answered status ${res.statusCode}`));
      }
      return Ok({ status: res.statusCode, body, era });
    } catch (err) {
      return Err(new PlatformUnavailableError(toErrorMessage(err), { cause: err }));
    }
  }
}
