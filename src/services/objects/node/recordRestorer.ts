import { sha256Hex } from '../../../base/common/digest.js';
import type { Event } from '../../../base/common/event.js';
import { eraOf } from '../common/eraTracker.js';
import {
  absentVersion,
  type EraChange,
  type IObjectStore,
  type IStoreEra,
  type ObjectKind,
  type StoredObject,
} from '../common/objects.js';
import type { RestorePeriod } from '../common/restorePeriod.js';

/** Number of replaced values that are remembered of each object. */
const maxReplacedValues = 16;

function digestOf(value: unknown): string {
  return sha256Hex(JSON.stringify(value));
}

/**
 * Writes objects again whose last change the store has forgotten, for objects that only operators change.
 *
 * An object counts as forgotten if the store lacks it, or has a value that this process saw replaced.
 * A value that it never saw may be a change that an operator made since.
 */
export class RecordRestorer<T> {
  private readonly replacedDigests = new Map<string, readonly string[]>();

  /** Number of objects that were written again. */
  restored = 0;

  /** Fires when the store has come back from an older copy. */
  readonly onDidChangeEra: Event<EraChange>;

  /**
   * @param store - Object store of the platform.
   * @param kind - Kind of the objects.
   * @param period - Tells how long the store may lack what other processes know.
   */
  constructor(
    private readonly store: IObjectStore & IStoreEra,
    private readonly kind: ObjectKind,
    private readonly period: RestorePeriod,
  ) {
    this.onDidChangeEra = store.onDidChangeEra;
  }

  /**
   * Remembers a value that was replaced by a newer one.
   *
   * @param name - Name of the object.
   * @param value - Value that it no longer has.
   */
  noteReplaced(name: string, value: T): void {
    const digests = this.replacedDigests.get(name) ?? [];
    this.replacedDigests.set(name, [...digests, digestOf(value)].slice(-maxReplacedValues));
  }

  /**
   * Writes known objects again that the store has forgotten.
   *
   * @param known - Newest objects that this process knows, by name.
   * @param listed - All objects that the store has.
   * @returns The names of the forgotten objects, for which the store's ones must not be used, and
   *   whether the store has them all again.
   */
  async restore(
    known: ReadonlyMap<string, StoredObject<T>>,
    listed: readonly StoredObject<T>[],
  ): Promise<{ readonly forgotten: ReadonlySet<string>; readonly isComplete: boolean }> {
    const forgotten = new Set<string>();
    let isComplete = true;
    if (this.period.isOver) {
      return { forgotten, isComplete };
    }
    const storedByName = new Map(listed.map((object) => [object.name, object]));
    for (const object of known.values()) {
      const { name, value, version } = object;
      const stored = storedByName.get(name);
      if (eraOf(version) < this.store.era && this.isForgotten(object, stored)) {
        forgotten.add(name);
        const put = await this.store.put(this.kind, name, value, stored?.version ?? absentVersion);
        isComplete &&= put.isOk();
        this.restored += put.isOk() ? 1 : 0;
      }
    }
    return { forgotten, isComplete };
  }

  private isForgotten(known: StoredObject<T>, stored: StoredObject<T> | undefined): boolean {
    if (stored === undefined) {
      return true;
    }
    const digest = digestOf(stored.value);
    const replaced = this.replacedDigests.get(known.name) ?? [];
    return digest !== digestOf(known.value) && replaced.includes(digest);
  }
}
