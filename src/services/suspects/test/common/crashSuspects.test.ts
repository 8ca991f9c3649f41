import { expect } from 'chai';
import fc from 'fast-check';
import { CrashSuspects, strictPolicy, Verdict } from '../../common/crashSuspects.js';

describe('CrashSuspects', () => {
  it('quarantines at the second crash, and not when the same crash is recorded twice', () => {
    const suspects = new CrashSuspects('a');
    suspects.recordCrash('e#1', ['f'], 0);
    suspects.recordCrash('e#1', ['f'], 1);
    expect(suspects.verdict('f')).to.equal(Verdict.Suspect);
    suspects.recordCrash('e#2', ['f'], 2);
    expect(suspects.verdict('f')).to.equal(Verdict.Quarantined);
  });

  it('gives the same verdicts at all entries, whatever the order in which records are merged', () => {
    const crash = fc.record({
      entry: fc.nat(2),
      id: fc.constantFrom('e#1', 'e#2', 'g#1'),
      fingerprint: fc.constantFrom('f', 'h'),
    });
    fc.assert(
      fc.property(fc.array(crash, { maxLength: 12 }), (crashes) => {
        const entries = ['a', 'b', 'c'].map((name) => new CrashSuspects(name));
        crashes.forEach(({ entry, id, fingerprint }) =>
          entries[entry].recordCrash(id, [fingerprint], 0),
        );
        const records = entries.map((entry) => entry.snapshot());
        entries.forEach((entry, index) => {
          const order = [...records.slice(index), ...records.slice(0, index)];
          order.forEach((record) => entry.merge(record, 0));
        });
        for (const fingerprint of ['f', 'h']) {
          const verdicts = new Set(entries.map((entry) => entry.verdict(fingerprint)));
          expect(verdicts.size).to.equal(1);
        }
      }),
      { seed: 111, numRuns: 300 },
    );
  });

  it('does not restore a cleared crash from an older record', () => {
    const suspects = new CrashSuspects('a');
    suspects.recordCrash('e#1', ['f'], 0);
    const older = suspects.snapshot();
    suspects.clearOldestCrash('f');
    suspects.merge(older, 1);
    expect(suspects.verdict('f')).to.equal(Verdict.Clear);
    suspects.recordCrash('e#2', ['f'], 2);
    expect(suspects.verdict('f')).to.equal(Verdict.Suspect);
  });

  it('lets one entry at a time run a suspect, and another one after the runner times out', () => {
    const first = new CrashSuspects('a');
    const second = new CrashSuspects('b');
    first.recordCrash('e#1', ['f'], 0);
    expect(first.acquire('f', 10)).to.equal(true);
    second.merge(first.snapshot(), 11);
    expect(second.acquire('f', 12)).to.equal(false);
    expect(second.acquire('f', 60_000)).to.equal(true);
  });

  it('forgets cleared requests after the time for which suspicions are kept', () => {
    const dayMs = 86_400_000;
    const suspects = new CrashSuspects('a');
    for (let index = 0; index < 500; index += 1) {
      suspects.recordCrash(`e#${index}`, [`f${index}`], 0);
      suspects.clearOldestCrash(`f${index}`);
    }
    suspects.merge([], 1_000 * dayMs);
    expect(suspects.size).to.equal(0);
  });

  it('keeps a bounded number of records, and quarantined requests longer than suspects', () => {
    const suspects = new CrashSuspects('a');
    suspects.recordCrash('e#1', ['killer'], 0);
    suspects.recordCrash('e#2', ['killer'], 1);
    for (let index = 0; index < 10_000; index += 1) {
      suspects.recordCrash('e#3', [`f${index}`], index);
    }
    expect(suspects.size).to.be.at.most(1_024);
    expect(suspects.verdict('killer')).to.equal(Verdict.Quarantined);
    for (let index = 0; index < 1_000; index += 1) {
      suspects.recordCrash(`g#${index}`, ['killer'], 10_000);
    }
    expect(JSON.stringify(suspects.snapshot()).length).to.be.below(1_048_576);
    expect(suspects.recordsOf('killer')[0].crashes.length).to.be.below(20);
  });

  it('does not quarantine a request that an endpoint survives between crashes, at any process', () => {
    const [first, second] = [new CrashSuspects('a'), new CrashSuspects('b')];
    for (let round = 0; round < 5; round += 1) {
      first.recordCrash(`e#${round}`, ['popular'], round);
      second.merge(first.snapshot(), round);
      second.clearOldestCrash('popular');
      first.merge(second.snapshot(), round);
      expect(first.verdict('popular')).to.equal(Verdict.Clear);
      expect(second.verdict('popular')).to.equal(Verdict.Clear);
    }
  });

  it('weighs one survived run against one crash, whatever their order', () => {
    const policy = { ...strictPolicy, isolationCrashes: 2, quarantineCrashes: 3 };
    fc.assert(
      fc.property(fc.array(fc.boolean(), { maxLength: 14 }), (runs) => {
        const suspects = new CrashSuspects('a', policy);
        let balance = 0;
        runs.forEach((hasCrashed, index) => {
          if (hasCrashed) {
            suspects.recordCrash(`e#${index}`, ['f'], index);
          } else {
            suspects.clearOldestCrash('f');
          }
          balance = Math.max(0, balance + (hasCrashed ? 1 : -1));
          const expected = [Verdict.Clear, Verdict.Clear, Verdict.Suspect, Verdict.Quarantined];
          expect(suspects.verdict('f')).to.equal(expected[Math.min(balance, 3)]);
        });
      }),
      { seed: 114, numRuns: 500 },
    );
  });

  it('lets another process run a suspect as soon as its runner releases it', () => {
    const [first, second] = [new CrashSuspects('a'), new CrashSuspects('b')];
    first.recordCrash('e#1', ['f'], 0);
    expect(first.acquire('f', 10)).to.equal(true);
    expect(first.release('f', 20)).to.equal(true);
    second.merge(first.snapshot(), 21);
    expect(second.acquire('f', 22)).to.equal(true);
  });

  it('tells the rest of a quarantine', () => {
    const suspects = new CrashSuspects('a');
    suspects.recordCrash('e#1', ['f'], 0);
    expect(suspects.quarantineRemainingMs('f', 0)).to.equal(0);
    suspects.recordCrash('e#2', ['f'], 1_000);
    expect(suspects.quarantineRemainingMs('f', 61_000)).to.equal(3_540_000);
  });

  it('does not weigh the evidence again when a peer repeats what is known', () => {
    const suspects = new CrashSuspects('a');
    suspects.recordCrash('e#1', ['f'], 0);
    const [record] = suspects.recordsOf('f');
    suspects.merge([{ ...record, crashes: [...record.crashes] }], 1);
    expect(suspects.recordsOf('f')[0]).to.equal(record);
  });
});
