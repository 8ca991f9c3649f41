/** Versioned object of the platform stand-in. */
export interface TableObject {
  readonly kind: string;
  readonly name: string;
  readonly version: number;
  readonly value: unknown;
}

interface TableChange {
  readonly sequence: number;
  readonly kind: string;
  readonly name: string;
}

/** Earlier state of a table, to which it can come back. */
export interface TableCopy {
  readonly objects: ReadonlyMap<string, ReadonlyMap<string, TableObject>>;
  readonly changes: readonly TableChange[];
}

/** Versioned objects with conditional updates; every change gets the next sequence number. */
export class ObjectTable {
  private objects = new Map<string, Map<string, TableObject>>();

  private readonly previousVersions = new Map<string, TableObject | undefined>();

  private changes: TableChange[] = [];

  private lastSequence = 0;

  /** Number of the era, which rises with each return from a copy. */
  era = 1;

  /** Sequence number of the latest change. */
  get sequence(): number {
    return this.lastSequence;
  }

  /** Returns a copy of the current state. */
  copy(): TableCopy {
    const objects = new Map([...this.objects].map(([kind, each]) => [kind, new Map(each)]));
    return { objects, changes: [...this.changes] };
  }

  /**
   * Comes back from a copy, in the next era. Versions and sequence numbers since then are given out again.
   *
   * @param copy - State to come back from.
   */
  comeBackFrom({ objects, changes }: TableCopy): void {
    this.objects = new Map([...objects].map(([kind, each]) => [kind, new Map(each)]));
    this.changes = [...changes];
    this.lastSequence = changes.length;
    this.previousVersions.clear();
    this.era += 1;
  }

  /** Returns an object, or undefined; with `isStaleRead`, the version before the newest. */
  get(kind: string, name: string, isStaleRead = false): TableObject | undefined {
    if (isStaleRead && this.previousVersions.has(`${kind}/${name}`)) {
      return this.previousVersions.get(`${kind}/${name}`);
    }
    return this.objects.get(kind)?.get(name);
  }

  /** Returns all objects of a kind. */
  list(kind: string): readonly TableObject[] {
    return [...(this.objects.get(kind)?.values() ?? [])];
  }

  /**
   * Writes an object if its stored version matches.
   *
   * @param kind - Kind of the object.
   * @param name - Name of the object.
   * @param value - New value.
   * @param expectedVersion - Version that must be stored; 0 if the object must not exist yet.
   * @returns The new version, or undefined if the stored version does not match.
   */
  put(kind: string, name: string, value: unknown, expectedVersion: number): number | undefined {
    const current = this.get(kind, name);
    if ((current?.version ?? 0) !== expectedVersion) {
      return undefined;
    }
    const version = expectedVersion + 1;
    const objectsOfKind = this.objects.get(kind) ?? new Map<string, TableObject>();
    this.objects.set(kind, objectsOfKind);
    objectsOfKind.set(name, { kind, name, version, value });
    this.previousVersions.set(`${kind}/${name}`, current);
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
