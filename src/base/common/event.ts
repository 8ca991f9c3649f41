/** Removes the listener it was returned for. */
export interface Subscription {
  close(): void;
}

/** Registers a listener for an event. */
export type Event<T> = (listener: (value: T) => void) => Subscription;

/** Source of an event; the owner fires it and closes it. */
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
   * Calls every listener with the value.
   *
   * @param value - The value to deliver.
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
