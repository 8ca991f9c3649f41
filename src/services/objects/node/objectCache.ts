import { Emitter } from '../../../base/common/event.js';
import { sleep } from '../../../base/node/systemClock.js';
import type { IObjectStore, ObjectKind, StoredObject } from '../common/objects.js';
import type { RecordRestorer } from './recordRestorer.js';

/**
 * Maximum wait of one watch call, in milliseconds. It limits how long a watch that no longer
 * answers stays undetected.
 */
const watchWaitMs = 5_000;

/** Pause after a failed platform call, in milliseconds. */
const retryPauseMs = 500;

/**
 * Local copy of all objects of one kind, updated by a watch.
 *
 * During an outage of the platform the cache keeps the last known objects. It never replaces an
 * object with a lower version of it.
 */
export class ObjectCache<T> {
  private readonly objects = new Map<string, StoredObject<T>>();

  private readonly changes = new Emitter<void>();

  private readonly abortController = new AbortController();

  private isFilled = false;

  /** Whether the store has come back from an older copy since the objects were last read. */
  private mustReadAgain = false;

  /** Ends the current watch call. */
  private watchController = new AbortController();

  /** Number of times that the objects were read. */
  listings = 0;

  /** Fires after the objects were read, which happens at the start and after each change. */
  readonly onDidChange = this.changes.event;

  /**
   * @param store - Object store of the platform.
   * @param kind - Kind of the cached objects.
   * @param restorer - Writes objects again that the store forgets; without it the store is followed.
   */
  constructor(
    private readonly store: IObjectStore,
    private readonly kind: ObjectKind,
    private readonly restorer?: RecordRestorer<T>,
  ) {}

  /** Whether the objects have been read at least once. */
  get isReady(): boolean {
    return this.isFilled;
  }

  /** Number of objects that were written again because the store had forgotten them. */
  get restored(): number {
    return this.restorer?.restored ?? 0;
  }

  /** Returns the value of an object, or undefined if the object is not known. */
  get(name: string): T | undefined {
    return this.objects.get(name)?.value;
  }

  /** Returns the values of all objects. */
  values(): readonly T[] {
    return [...this.objects.values()].map((object) => object.value);
  }

  /** Starts to read the objects and to watch for changes. */
  start(): void {
    this.restorer?.onDidChangeEra(() => {
      this.mustReadAgain = true;
      this.watchController.abort();
    });
    void this.run();
  }

  /** Ends the watch and removes the listeners of `onDidChange`. */
  close(): void {
    this.abortController.abort();
    this.watchController.abort();
    this.changes.close();
  }

  private async run(): Promise<void> {
    const { signal } = this.abortController;
    let sequence = 0;
    while (!signal.aborted) {
      this.watchController = new AbortController();
      if ((!this.isFilled || this.mustReadAgain) && !(await this.refresh())) {
        await sleep(retryPauseMs, signal);
        continue;
      }
      const batch = await this.store.watch(
        this.kind,
        sequence,
        watchWaitMs,
        this.watchController.signal,
      );
      const refreshed = batch.isOk() && (batch.value.names.length === 0 || (await this.refresh()));
      if (refreshed) {
        sequence = batch.value.sequence;
      } else {
        await sleep(retryPauseMs, signal);
      }
    }
  }

  private async refresh(): Promise<boolean> {
    const list = await this.store.list<T>(this.kind);
    if (list.isErr()) {
      return false;
    }
    this.mustReadAgain = false;
    const restored = await this.restorer?.restore(this.objects, list.value);
    for (const object of list.value) {
      const known = this.objects.get(object.name);
      if (object.version > (known?.version ?? 0) && !restored?.forgotten.has(object.name)) {
        this.objects.set(object.name, object);
        if (known) {
          this.restorer?.noteReplaced(object.name, known.value);
        }
      }
    }
    this.isFilled = true;
    this.listings += 1;
    this.changes.fire();
    this.mustReadAgain ||= restored?.isComplete === false;
    return !this.mustReadAgain;
  }
}
