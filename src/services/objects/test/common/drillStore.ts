import { Err, Ok, type Result } from 'ts-results-es';
import { Emitter } from '../../../../base/common/event.js';
import { eraOf, revisionOf, toVersion } from '../../common/eraTracker.js';
import {
  absentVersion,
  PlatformUnavailableError,
  VersionConflictError,
  type EraChange,
  type IObjectStore,
  type IStoreEra,
  type ObjectKind,
  type StoredObject,
  type WatchBatch,
} from '../../common/objects.js';

interface DrillObject {
  readonly revision: number;
  readonly value: unknown;
}

/** State to which a store can come back. */
export interface StoreCopy {
  readonly objects: ReadonlyMap<string, DrillObject>;
  readonly revision: number;
}

/** In-memory store that can come back from an older copy of itself and gives out revisions again. */
export class DrillStore {
  era = 1;

  private objects = new Map<string, DrillObject>();

  private revision = 0;

  /** Returns a copy of the current state. */
  copy(): StoreCopy {
    return { objects: new Map(this.objects), revision: this.revision };
  }

  /** Comes back from a copy, in the next era. */
  comeBackFrom(copy: StoreCopy): void {
    this.objects = new Map(copy.objects);
    this.revision = copy.revision;
    this.era += 1;
  }

  read(key: string): DrillObject | undefined {
    return this.objects.get(key);
  }

  /** Returns the objects whose keys have a prefix, by the rest of their keys. */
  readAll(prefix: string): readonly (readonly [string, DrillObject])[] {
    return [...this.objects]
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, object]) => [key.slice(prefix.length), object]);
  }

  /** Writes an object if its revision is the expected one; returns the new revision. */
  write(key: string, value: unknown, expected: number): number | undefined {
    if ((this.objects.get(key)?.revision ?? 0) !== expected) {
      return undefined;
    }
    this.revision += 1;
    this.objects.set(key, { revision: this.revision, value: structuredClone(value) });
    return this.revision;
  }
}

/** Client of one process, which learns of an era only from the answers to its own calls. */
export class DrillStoreClient implements IObjectStore, IStoreEra {
  era = 0;

  private readonly eraChanges = new Emitter<EraChange>();

  readonly onDidChangeEra = this.eraChanges.event;

  constructor(private readonly store: DrillStore) {}

  get<T>(kind: ObjectKind, name: string): Promise<Result<StoredObject<T> | undefined, never>> {
    this.observeEra();
    const object = this.store.read(`${kind}/${name}`);
    return Promise.resolve(
      Ok(
        object && {
          kind,
          name,
          version: toVersion(this.era, object.revision),
          value: object.value as T,
        },
      ),
    );
  }

  list<T>(kind: ObjectKind): Promise<Result<readonly StoredObject<T>[], never>> {
    this.observeEra();
    const items = this.store.readAll(`${kind}/`).map(([name, { revision, value }]) => ({
      kind,
      name,
      version: toVersion(this.era, revision),
      value: value as T,
    }));
    return Promise.resolve(Ok(items));
  }

  put<T>(
    kind: ObjectKind,
    name: string,
    value: T,
    version: number,
  ): Promise<Result<number, VersionConflictError | PlatformUnavailableError>> {
    const era = eraOf(version);
    if (version !== absentVersion && era !== this.era) {
      return Promise.resolve(Err(new VersionConflictError(`read in era ${era}`)));
    }
    const eraAtSend = this.era;
    const revision = this.store.write(`${kind}/${name}`, value, revisionOf(version));
    this.observeEra();
    if (revision === undefined) {
      return Promise.resolve(Err(new VersionConflictError(`${name} has changed`)));
    }
    return Promise.resolve(
      eraAtSend === this.era
        ? Ok(toVersion(this.era, revision))
        : Err(new PlatformUnavailableError('the era changed during the write')),
    );
  }

  watch(): Promise<Result<WatchBatch, PlatformUnavailableError>> {
    return Promise.resolve(Err(new PlatformUnavailableError('watch is not supported')));
  }

  private observeEra(): void {
    const previousEra = this.era;
    this.era = this.store.era;
    if (previousEra > 0 && previousEra !== this.era) {
      this.eraChanges.fire({ previousEra, era: this.era });
    }
  }
}
