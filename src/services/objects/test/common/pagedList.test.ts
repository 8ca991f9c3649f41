import { expect } from 'chai';
import fc from 'fast-check';
import { PagedList } from '../../common/pagedList.js';

interface Change {
  readonly revision: number;
  readonly name: number;
  readonly isDeleted: boolean;
}

/** Returns the objects after all changes up to a revision, by name. */
function stateAt(changes: readonly Change[], revision: number): ReadonlyMap<number, number> {
  const state = new Map<number, number>();
  for (const change of changes.filter((each) => each.revision <= revision)) {
    if (change.isDeleted) {
      state.delete(change.name);
    } else {
      state.set(change.name, change.revision);
    }
  }
  return state;
}

describe('PagedList', () => {
  // Guards against a revision that is later than a page, whose missing changes nobody would read.
  it('has no revision that is later than one of its pages, whatever their order', () => {
    const changes = fc
      .array(fc.record({ name: fc.nat(5), isDeleted: fc.boolean() }), { maxLength: 30 })
      .map((all): Change[] => all.map((change, index) => ({ ...change, revision: index + 1 })));
    const revisions = fc.array(fc.nat(30), { minLength: 6, maxLength: 6 });
    fc.assert(
      fc.property(changes, revisions, (history, pageRevisions) => {
        const list = new PagedList<readonly [number, number]>();
        pageRevisions.forEach((revision, page) => {
          const items = [...stateAt(history, revision)].filter(([name]) => name === page);
          list.add(items, revision);
        });
        const copy = new Map(list.items);
        for (const { name, revision, isDeleted } of history) {
          if (revision > list.revision && isDeleted) {
            copy.delete(name);
          } else if (revision > list.revision) {
            copy.set(name, revision);
          }
        }
        const latest = stateAt(history, Number.POSITIVE_INFINITY);
        expect([...copy].sort()).to.deep.equal([...latest].sort());
        expect(list.newestRevision).to.equal(Math.max(...pageRevisions));
      }),
      { seed: 3 },
    );
  });

  it('has revision 0 without a page', () => {
    expect(new PagedList<string>().revision).to.equal(0);
  });
});
