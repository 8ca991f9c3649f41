import { Emitter } from '../../../base/common/event.js';
import { sleep } from '../../../base/node/systemClock.js';
import type { IObjectStore, ObjectKind, StoredObject } from '../common/objects.js';

/** Longest wait of one watch call, in milliseconds; bounds how long a silent watch goes unseen. */
const watchWaitMs = 5_000;

/** Pause after a failed platform call, in milliseconds. */
const retryPauseMs = 500;

/**
 * Copy of all objects of one kind, kept current by a watch.
 *
 * During an outage of the platform the last known objects stay; an object never goes back to a
 * lower version.
 */
export class ObjectCache<T> {
  private readonly objects = new Map<string, StoredObject<T>>();

  private readonly changes = new Emitter<void>();

  private readonly abort = new AbortController();

  private filled = false;

  /** Fires after objects changed. */
  readonly onDidChange = this.changes.event;

  /**
   * @param store - The platform's objects.
   * @param kind - Kind of the objects.
   */
  constructor(
    private readonly store: IObjectStore,
    private readonly kind: ObjectKind,
  ) {}

  /** True once the objects were read. */
  get ready(): boolean {
    return this.filled;
  }

  /** Returns an object's value, or undefined. */
  get(name: string): T | undefined {
    return this.objects.get(name)?.value;
  }

  /** Returns the values of all objects. */
  values(): readonly T[] {
    return [...this.objects.values()].map((object) => object.value);
  }

  /** Starts to read and to watch. */
  start(): void {
    void this.run();
  }

  /** Ends the watch. */
  close(): void {
    this.abort.abort();
    this.changes.close();
  }

  private async run(): Promise<void> {
    const { signal } = this.abort;
    let sequence = 0;
    while (!signal.aborted) {
      if (!this.filled && !(await this.refresh())) {
        await sleep(retryPauseMs, signal);
        continue;
      }
      const batch = await this.store.watch(this.kind, sequence, watchWaitMs, signal);
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
    for (const object of list.value) {
      const known = this.objects.get(object.name)?.version ?? 0;
      if (object.version > known) {
        this.objects.set(object.name, object);
      }
    }
    this.filled = true;
    this.changes.fire();
    return true;
  }
}
