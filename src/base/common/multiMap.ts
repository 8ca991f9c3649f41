/** Map with any number of values for each key. */
export class MultiMap<K, V> {
  private readonly sets = new Map<K, Set<V>>();

  private count = 0;

  /** Number of values of all keys. */
  get size(): number {
    return this.count;
  }

  /** Adds a value to a key. */
  add(key: K, value: V): void {
    const values = this.sets.get(key) ?? new Set<V>();
    this.sets.set(key, values);
    if (!values.has(value)) {
      values.add(value);
      this.count += 1;
    }
  }

  /** Removes a value from a key. */
  delete(key: K, value: V): void {
    const values = this.sets.get(key);
    if (values?.delete(value)) {
      this.count -= 1;
      if (values.size === 0) {
        this.sets.delete(key);
      }
    }
  }

  /** Removes a key and returns its values. */
  deleteAll(key: K): readonly V[] {
    const values = this.get(key);
    this.sets.delete(key);
    this.count -= values.length;
    return values;
  }

  /** Returns a copy of a key's values. */
  get(key: K): readonly V[] {
    return [...(this.sets.get(key) ?? [])];
  }

  /** Returns a copy of all pairs of key and value. */
  entries(): readonly (readonly [K, V])[] {
    return [...this.sets].flatMap(([key, values]) =>
      [...values].map((value): readonly [K, V] => [key, value]),
    );
  }
}
