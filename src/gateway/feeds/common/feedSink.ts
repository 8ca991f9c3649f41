/** Receives the objects and changes that a feed reads. */
export interface IFeedSink<T> {
  /** Called when an object was added or changed. */
  onItem(value: T): void;
  /** Called when an object was deleted, or when its current content can't be decoded. */
  onRemoved(name: string): void;
  /** Called with the names of all objects after each complete list. */
  onListed(names: ReadonlySet<string>): void;
  /** Called when the store stops answering. */
  onLost(): void;
  /** Called when the store answers again after a failure. */
  onRecovered(): void;
}
