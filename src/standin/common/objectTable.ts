/** An object of the platform stand-in. */
export interface TableObject {
  readonly kind: string;
  readonly name: string;
  readonly version: number;
  readonly value: unknown;
}

/** Versioned objects with conditional updates and a change sequence. */
export class ObjectTable {
  private readonly objects = new Map<string, Map<string, TableObject>>();

  private readonly previous = new Map<string, TableObject | undefined>();

  private readonly changes: { sequence: number; kind: string; name: string }[] = [];

  private lastSequence = 0;

  /** Sequence number of the newest change. */
  get sequence(): number {
    return this.lastSequence;
  }

  /** Returns an object, or undefined; `stale` asks for the version before the newest. */
  get(kind: string, name: string, stale = false): TableObject | undefined {
    if (stale && this.previous.has(`${kind}/${name}`)) {
      return this.previous.get(`${kind}/${name}`);
    }
    return this.objects.get(kind)?.get(name);
  }

  /** Returns all objects of a kind. */
  list(kind: string): readonly TableObject[] {
    return [...(this.objects.get(kind)?.values() ?? [])];
  }

  /**
   * Writes an object if its version matches.
   *
   * @param kind - Kind of the object.
   * @param name - Name of the object.
   * @param value - New value.
   * @param expected - Version that must be stored; 0 for an object that must not exist.
   * @returns The new version, or undefined if the condition failed.
   */
  put(kind: string, name: string, value: unknown, expected: number): number | undefined {
    const current = this.get(kind, name);
    if ((current?.version ?? 0) !== expected) {
      return undefined;
    }
    const version = expected + 1;
    const ofKind = this.objects.get(kind) ?? new Map<string, TableObject>();
    this.objects.set(kind, ofKind);
    ofKind.set(name, { kind, name, version, value });
    this.previous.set(`${kind}/${name}`, current);
    this.lastSequence += 1;
    this.changes.push({ sequence: this.lastSequence, kind, name });
    return version;
  }

  /** Returns the names of a kind's objects that changed after a sequence number. */
  changedAfter(kind: string, sequence: number): readonly string[] {
    const names = new Set<string>();
    for (let index = this.changes.length - 1; index >= 0; index -= 1) {
      const change = this.changes[index];
      if (change.sequence <= sequence) {
        break;
      }
      if (change.kind === kind) {
        names.add(change.name);
      }
    }
    return [...names];
  }
}
