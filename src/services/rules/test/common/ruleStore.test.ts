import { expect } from 'chai';
import fc, { type Scheduler } from 'fast-check';
import { Ok, type Result } from 'ts-results-es';
import type { ObjectKind, WriteError } from '../../../objects/common/objects.js';
import { FaultyStore, StoreFault } from '../../../objects/test/common/faultyStore.js';
import { RulesConflictError, RuleStore } from '../../common/ruleStore.js';

const digest = (text: string) => `digest of ${text}`;

const shareLine = (weight: number) =>
  `share organisation=coop weight=${weight} # asked by Cooperativa`;

const faultLists = fc.array(fc.constantFrom(...Object.values(StoreFault)), { maxLength: 40 });

/**
 * Store that ignores the version precondition of updates and so loses changes, which the check must
 * detect.
 */
class UnconditionalStore extends FaultyStore {
  override async put<T>(
    kind: ObjectKind,
    name: string,
    value: T,
    version: number,
  ): Promise<Result<number, WriteError>> {
    const put = await super.put(kind, name, value, version);
    if (put.isOk()) {
      return put;
    }
    const read = await this.get(kind, name);
    const current = read.isOk() ? (read.value?.version ?? 0) : 0;
    return super.put(kind, name, value, current).then(() => Ok(current + 1));
  }
}

/**
 * Applies edits of three operators concurrently, all based on revision 0. Returns a description of
 * the inconsistency in the outcome, or undefined if there is none.
 */
async function raceEdits(scheduler: Scheduler, store: FaultyStore): Promise<string | undefined> {
  const edits = [1, 2, 3].map((weight) =>
    new RuleStore(store, digest).apply({
      id: `change-${weight}`,
      text: shareLine(weight),
      baseRevision: 0,
      by: `operator ${weight}`,
      atMs: weight,
    }),
  );
  await scheduler.waitFor(Promise.all(edits));
  const results = await Promise.all(edits);
  await scheduler.waitAll(); // delayed writes take effect here
  store.disableFaults();
  const reader = new RuleStore(store, digest);
  const file = (await scheduler.waitFor(reader.read())).unwrap();
  const accepted = results.flatMap((result, index) =>
    result.isOk() ? [`change-${index + 1}`] : [],
  );
  const stored = file.changes.map((change) => change.id);
  if (accepted.some((id) => !stored.includes(id))) {
    return 'an accepted change is not stored';
  }
  if (accepted.length > 1 || stored.length > 1) {
    return 'two changes that are based on the same revision were accepted';
  }
  const hasFalseConflict = results.some(
    (result) => result.isErr() && result.error instanceof RulesConflictError && stored.length === 0,
  );
  return hasFalseConflict ? 'a conflict was reported although no change is stored' : undefined;
}

describe('RuleStore', () => {
  it('accepts and keeps at most one of several concurrent changes, whichever store calls fail', async () => {
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), faultLists, async (scheduler, storeFaults) => {
        expect(await raceEdits(scheduler, new FaultyStore(scheduler, storeFaults))).to.equal(
          undefined,
        );
      }),
      { seed: 101, numRuns: 600 },
    );
  });

  it('detects lost changes when the store ignores the precondition of updates', async () => {
    const result = await fc.check(
      fc.asyncProperty(
        fc.scheduler(),
        async (scheduler) =>
          (await raceEdits(scheduler, new UnconditionalStore(scheduler, []))) === undefined,
      ),
      { seed: 101, numRuns: 600 },
    );
    expect(result.failed).to.equal(true);
  });

  it('applies a change only once when the same id is sent again', async () => {
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), async (scheduler) => {
        const store = new RuleStore(new FaultyStore(scheduler, []), digest);
        const edit = { id: 'change', text: shareLine(1), baseRevision: 0, by: 'a', atMs: 0 };
        expect((await scheduler.waitFor(store.apply(edit))).unwrap()).to.equal(1);
        expect((await scheduler.waitFor(store.apply(edit))).unwrap()).to.equal(1);
      }),
      { seed: 102, numRuns: 5 },
    );
  });

  it('stores a file of more than a megabyte in chunks and reads it back', async () => {
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), async (scheduler) => {
        const store = new RuleStore(new FaultyStore(scheduler, []), digest);
        const text = Array.from(
          { length: 20_000 },
          (_unused, index) =>
            `share organisation=o${index} weight=1 # asked by partner number ${index}`,
        ).join('\n');
        expect(text.length).to.be.above(1_048_576);
        const edit = { id: 'change', text, baseRevision: 0, by: 'a', atMs: 0 };
        expect((await scheduler.waitFor(store.apply(edit))).unwrap()).to.equal(1);
        expect((await scheduler.waitFor(store.read())).unwrap().text).to.equal(text);
      }),
      { seed: 103, numRuns: 1 },
    );
  });
});
