import type { Scheduler } from 'fast-check';
import { Err, Ok, type Result } from 'ts-results-es';
import {
  PlatformUnavailableError,
  VersionConflictError,
  type IObjectStore,
  type ObjectKind,
  type ReadError,
  type StoredObject,
  type WatchBatch,
  type WriteError,
} from '../../common/objects.js';

/** Faults of the calls of a store, taken in turn. */
export enum StoreFault {
  None = 'none',
  /** The call fails without effect. */
  Down = 'down',
  /** A write takes effect, its confirmation is lost. */
  LostConfirmation = 'lost-confirmation',
  /** A write is reported as failed and takes effect later. */
  Delayed = 'delayed',
  /** A read returns the version before the newest. */
  Stale = 'stale',
}

/** Object store in memory whose calls end in scheduled order and fail as told. */
export class FaultyStore implements IObjectStore {
  private readonly objects = new Map<string, StoredObject[]>();

  private calls = 0;

  /**
   * @param scheduler - Orders the calls.
   * @param faults - Faults of the calls, used in turn; none after the last.
   */
  constructor(
    private readonly scheduler: Scheduler,
    private readonly faults: readonly StoreFault[],
  ) {}

  /** Ends all faults, so that a check can read what is stored. */
  heal(): void {
    this.calls = this.faults.length;
  }

  async get<T>(
    kind: ObjectKind,
    name: string,
  ): Promise<Result<StoredObject<T> | undefined, ReadError>> {
    const fault = this.nextFault();
    await this.scheduler.schedule(Promise.resolve(), `get ${kind}/${name}`);
    if (fault === StoreFault.Down) {
      return Err(new PlatformUnavailableError('down'));
    }
    const versions = this.objects.get(`${kind}/${name}`) ?? [];
    const index = fault === StoreFault.Stale ? versions.length - 2 : versions.length - 1;
    return Ok(versions[index] as StoredObject<T> | undefined);
  }

  async list<T>(kind: ObjectKind): Promise<Result<readonly StoredObject<T>[], ReadError>> {
    await this.scheduler.schedule(Promise.resolve(), `list ${kind}`);
    const newest = [...this.objects.values()].map((versions) => versions[versions.length - 1]);
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
      return Err(new PlatformUnavailableError('down'));
    }
    if (fault === StoreFault.Delayed) {
      void this.scheduler
        .schedule(Promise.resolve(), `delayed put ${kind}/${name}`)
        .then(() => this.write(kind, name, value, version));
      return Err(new PlatformUnavailableError('no answer'));
    }
    const written = this.write(kind, name, value, version);
    if (fault === StoreFault.LostConfirmation) {
      return Err(new PlatformUnavailableError('confirmation lost'));
    }
    return written;
  }

  watch(): Promise<Result<WatchBatch, ReadError>> {
    return Promise.resolve(Err(new PlatformUnavailableError('no watches here')));
  }

  private write<T>(
    kind: ObjectKind,
    name: string,
    value: T,
    version: number,
  ): Result<number, VersionConflictError> {
    const versions = this.objects.get(`${kind}/${name}`) ?? [];
    if (versions.length !== version) {
      return Err(new VersionConflictError(`${versions.length} is stored, not ${version}`));
    }
    versions.push({ kind, name, version: version + 1, value: structuredClone(value) });
    this.objects.set(`${kind}/${name}`, versions);
    return Ok(version + 1);
  }

  private nextFault(): StoreFault {
    const fault = this.faults[this.calls] ?? StoreFault.None;
    this.calls += 1;
    return fault;
  }
}
