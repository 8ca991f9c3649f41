import { Err, Ok, type Result } from 'ts-results-es';
import type { Event } from '../../../base/common/event.js';
import type { AnswerIntake } from '../../exchange/node/answerIntake.js';
import { eraOf, revisionOf, toVersion } from '../common/eraTracker.js';
import {
  absentVersion,
  PlatformRefusedError,
  PlatformUnavailableError,
  VersionConflictError,
  type EraChange,
  type IObjectStore,
  type IStoreEra,
  type ObjectKind,
  type ReadError,
  type StoredObject,
  type WatchBatch,
  type WriteError,
} from '../common/objects.js';
import { StoreConnections, type StoreReply } from './storeConnections.js';

/** Time by which the timeout of a watch call exceeds the requested wait, in milliseconds. */
const watchGraceMs = 1_000;

function objectPath(kind: string, name: string): string {
  return `/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;
}

function createRefusedError(reply: StoreReply): PlatformRefusedError {
  return new PlatformRefusedError(`platform answered status ${reply.status}`);
}

function withEra<T>(object: StoredObject<T>, era: number): StoredObject<T> {
  return { ...object, version: toVersion(era, object.version) };
}

/** Header in which all answers give the era of the objects. */
const eraHeader = 'platform-era';

/** Timeout for opening a connection, in milliseconds. */
const connectTimeoutMs = 1_000;

const maxConnections = 8;

/**
 * Client of the object API over HTTP. Every call has a timeout. The versions and sequence numbers that it
 * hands out include the era of the platform.
 */
export class HttpObjectStore implements IObjectStore, IStoreEra {
  private readonly connections: StoreConnections;

  /**
   * @param baseUrl - URL of the platform, for example `http://127.0.0.1:8000`.
   * @param callTimeoutMs - Timeout of every call except a watch, in milliseconds.
   * @param intake - Bounds what the answers make the process hold.
   */
  constructor(
    baseUrl: string,
    private readonly callTimeoutMs: number,
    intake: AnswerIntake,
  ) {
    this.connections = new StoreConnections(
      { origin: baseUrl, eraHeader, maxConnections, connectTimeoutMs, intake },
      () => undefined,
    );
  }

  get onDidChangeEra(): Event<EraChange> {
    return this.connections.eraTracker.onDidChange;
  }

  get era(): number {
    return this.connections.eraTracker.era;
  }

  async get<T>(
    kind: ObjectKind,
    name: string,
  ): Promise<Result<StoredObject<T> | undefined, ReadError>> {
    const reply = await this.readPath(objectPath(kind, name));
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
    const reply = await this.readPath(`/objects/${kind}`);
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
    const reply = await this.connections.call({
      method: 'PUT',
      path: objectPath(kind, name),
      headers: condition,
      body: value,
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
    const path = `/watch/${kind}?after=${after}`;
    const reply = await this.connections.call({
      method: 'GET',
      path: `${path}&waitMs=${waitMs}`,
      timeoutMs: waitMs + watchGraceMs,
      signals: [signal],
      fallback: { path: `${path}&waitMs=0`, timeoutMs: watchGraceMs },
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
    const reply = await this.readPath(path);
    return reply.andThen((answer) =>
      answer.status === 200 ? Ok(answer.body as T) : Err(createRefusedError(answer)),
    );
  }

  /** Closes the connections and removes every listener; calls that are in progress fail. */
  close(): Promise<void> {
    return this.connections.close();
  }

  private readPath(path: string): Promise<Result<StoreReply, PlatformUnavailableError>> {
    const { callTimeoutMs: timeoutMs } = this;
    return this.connections.call({
      method: 'GET',
      path,
      timeoutMs,
      fallback: { path, timeoutMs },
    });
  }
}
