/** Map that holds a set of values for each key. */
export class MultiMap<K, V> {
  private readonly valuesByKey = new Map<K, Set<V>>();

  private valueCount = 0;

  /** Total number of values of all keys. */
  get size(): number {
    return this.valueCount;
  }

  /** Adds a value to a key, unless the key already has it. */
  add(key: K, value: V): void {
    const values = this.valuesByKey.get(key) ?? new Set<V>();
    this.valuesByKey.set(key, values);
    if (!values.has(value)) {
      values.add(value);
      this.valueCount += 1;
    }
  }

  /** Removes a value from a key; does nothing if the key does not have it. */
  delete(key: K, value: V): void {
    const values = this.valuesByKey.get(key);
    if (values?.delete(value)) {
      this.valueCount -= 1;
      if (values.size === 0) {
        this.valuesByKey.delete(key);
      }
    }
  }

  /** Removes a key and returns the values that it had. */
  deleteAll(key: K): readonly V[] {
    const values = this.get(key);
    this.valuesByKey.delete(key);
    this.valueCount -= values.length;
    return values;
  }

  /** Returns a copy of a key's values. */
  get(key: K): readonly V[] {
    return [...(this.valuesByKey.get(key) ?? [])];
  }

  /** Returns a copy of all key-value pairs. */
  entries(): readonly (readonly [K, V])[] {
    return [...this.valuesByKey].flatMap(([key, values]) =>
      [...values].map((value): readonly [K, V] => [key, value]),
    );
  }
}
