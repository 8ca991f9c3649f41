/** Nesting of a field, in arrays; what the stand-in can still write. */
const nesting = 2_000;

function nested(depth: number): unknown {
  let value: unknown = [];
  for (let level = 0; level < depth; level += 1) {
    value = [value];
  }
  return value;
}

/** Entries of a replica that doesn't exist, each with something that no replica says. */
export function oddEntries(): readonly object[] {
  const entry = {
    service: 'model',
    addr: '127.0.0.1:9',
    zone: 'a',
    slots: 8,
    state: 'ready',
    seq: 1,
    born: 1_700_000_000_000,
    kind: 'small',
    layers: { from: 2, target: 5 },
  };
  return [
    { ...entry, layers: { from: 2, target: 3e9 } },
    { ...entry, layers: { from: 0, target: 1e15 } },
    { ...entry, layers: { from: 0, target: 1e308 } },
    { ...entry, layers: { from: 0, target: 2e7 } },
    { ...entry, layers: { from: -3, target: 2 } },
    { ...entry, layers: { from: 6, target: 12 } },
    { ...entry, layers: { from: 0, target: 8 } },
    { ...entry, layers: nested(nesting) },
    { ...entry, born: 1e300, slots: 0.5 },
    { ...entry, addr: '127.0.0.1:70000' },
    { ...entry, addr: '127.0.0.1:0' },
    { ...entry, zone: nested(nesting) },
    { service: 7 },
  ];
}
