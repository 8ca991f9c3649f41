/** Registration of a listener; `close` removes the listener. */
export interface Subscription {
  close(): void;
}

/** Function that registers a listener for an event. */
export type Event<T> = (listener: (value: T) => void) => Subscription;

/** Source of an event, fired and closed by its owner. */
export class Emitter<T> {
  private readonly listeners = new Set<(value: T) => void>();

  /**
   * Registers a listener.
   *
   * @param listener - Called with each fired value.
   * @returns A subscription whose `close` removes the listener.
   */
  readonly event: Event<T> = (listener) => {
    this.listeners.add(listener);
    return { close: () => this.listeners.delete(listener) };
  };

  /**
   * Calls every registered listener.
   *
   * @param value - Value passed to each listener.
   */
  fire(value: T): void {
    for (const listener of [...this.listeners]) {
      listener(value);
    }
  }

  /** Removes every listener. */
  close(): void {
    this.listeners.clear();
  }
}
