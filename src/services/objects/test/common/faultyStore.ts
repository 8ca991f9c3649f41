import type { Scheduler } from 'fast-check';
import { Err, Ok, type Result } from 'ts-results-es';
import { Emitter } from '../../../../base/common/event.js';
import {
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
} from '../../common/objects.js';

/** Fault that is injected into a call of the store. */
export enum StoreFault {
  None = 'none',
  /** The call fails and has no effect. */
  Down = 'down',
  /** A write takes effect, but its confirmation is lost. */
  LostConfirmation = 'lost-confirmation',
  /** A write is reported as failed, but takes effect later. */
  Delayed = 'delayed',
  /** A read returns the version before the current one. */
  Stale = 'stale',
}

/** In-memory object store whose calls complete in scheduled order and fail as specified. */
export class FaultyStore implements IObjectStore, IStoreEra {
  readonly era = 0;

  readonly onDidChangeEra = new Emitter<EraChange>().event;

  private readonly versionsByObject = new Map<string, StoredObject[]>();

  private callCount = 0;

  /**
   * @param scheduler - Decides the order in which calls complete.
   * @param faults - Faults of the `get` and `put` calls, one per call; further calls have none.
   */
  constructor(
    private readonly scheduler: Scheduler,
    private readonly faults: readonly StoreFault[],
  ) {}

  /** Disables all further faults, so that a check can read the stored objects. */
  disableFaults(): void {
    this.callCount = this.faults.length;
  }

  async get<T>(
    kind: ObjectKind,
    name: string,
  ): Promise<Result<StoredObject<T> | undefined, ReadError>> {
    const fault = this.nextFault();
    await this.scheduler.schedule(Promise.resolve(), `get ${kind}/${name}`);
    if (fault === StoreFault.Down) {
      return Err(new PlatformUnavailableError('store unavailable'));
    }
    const versions = this.versionsByObject.get(`${kind}/${name}`) ?? [];
    const index = fault === StoreFault.Stale ? versions.length - 2 : versions.length - 1;
    return Ok(versions[index] as StoredObject<T> | undefined);
  }

  async list<T>(kind: ObjectKind): Promise<Result<readonly StoredObject<T>[], ReadError>> {
    await this.scheduler.schedule(Promise.resolve(), `list ${kind}`);
    const newest = [...this.versionsByObject.values()].map(
      (versions) => versions[versions.length - 1],
    );
    return Ok(newest.filter((object) => object.kind === String(kind)) as StoredObject<T>[]);
  }

  async put<T>(
    kind: ObjectKind,
    name: string,
    value: T,
    version: number,
  ): Promise<Result<number, WriteError>> {
    const fault = this.nextFault();
    await this.scheduler.schedule(Promise.resolve(), `put ${kind}/${name}`);
    if (fault === StoreFault.Down) {
      return Err(new PlatformUnavailableError('store unavailable'));
    }
    if (fault === StoreFault.Delayed) {
      void this.scheduler
        .schedule(Promise.resolve(), `delayed put ${kind}/${name}`)
        .then(() => this.write(kind, name, value, version));
      return Err(new PlatformUnavailableError('no answer to the put call'));
    }
    const written = this.write(kind, name, value, version);
    if (fault === StoreFault.LostConfirmation) {
      return Err(new PlatformUnavailableError('confirmation of the put call lost'));
    }
    return written;
  }

  watch(): Promise<Result<WatchBatch, ReadError>> {
    return Promise.resolve(
      Err(new PlatformUnavailableError('watch is not supported by this store')),
    );
  }

  private write<T>(
    kind: ObjectKind,
    name: string,
    value: T,
    version: number,
  ): Result<number, VersionConflictError> {
    const versions = this.versionsByObject.get(`${kind}/${name}`) ?? [];
    if (versions.length !== version) {
      return Err(new VersionConflictError(`stored version is ${versions.length}, not ${version}`));
    }
    versions.push({ kind, name, version: version + 1, value: structuredClone(value) });
    this.versionsByObject.set(`${kind}/${name}`, versions);
    return Ok(version + 1);
  }

  private nextFault(): StoreFault {
    const fault = this.faults[this.callCount] ?? StoreFault.None;
    this.callCount += 1;
    return fault;
  }
}
