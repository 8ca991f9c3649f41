import { expect } from 'chai';
import fc from 'fast-check';
import { CrashSuspects, Verdict } from '../../common/crashSuspects.js';
import { partSubject } from '../../common/subject.js';

const policy = {
  isolationCrashes: 2,
  quarantineCrashes: 3,
  runnerTimeoutMs: 5_000,
  maxBankedSurvivals: 6,
};

const part = partSubject('p');

const minuteMs = 60_000;

function create(name = 'a'): CrashSuspects {
  return new CrashSuspects(name, policy);
}

function crash(suspects: CrashSuspects, count: number, subject = part, nowMs = 0): void {
  for (let index = 0; index < count; index += 1) {
    suspects.recordCrash(`e#${index}`, [`request-${index}`, subject], nowMs);
  }
}

describe('suspicion of parts that requests share', () => {
  it('quarantines a part that no endpoint has survived at the third crash, and never isolates it', () => {
    const suspects = create();
    crash(suspects, 2);
    expect(suspects.verdict(part)).to.equal(Verdict.Clear);
    crash(suspects, 3);
    expect(suspects.verdict(part)).to.equal(Verdict.Quarantined);
  });

  it('suspects a request rather than the parts that no other request held at its crashes', () => {
    const suspects = create();
    for (let index = 0; index < 3; index += 1) {
      suspects.recordCrash(`e#${index}`, ['r', part], 0);
    }
    expect(suspects.verdict('r')).to.equal(Verdict.Quarantined);
    expect(suspects.verdict(part)).to.equal(Verdict.Clear);
    suspects.recordCrash('e#3', ['s', part], 0);
    expect(suspects.verdict(part)).to.equal(Verdict.Quarantined);
    expect(suspects.verdict('r')).to.equal(Verdict.Clear);
  });

  it('spares a popular part, and quarantines it if it turns deadly after a sound history', () => {
    const suspects = create();
    for (let run = 0; run < 500; run += 1) {
      suspects.recordSurvival(part, run);
    }
    crash(suspects, 6);
    expect(suspects.recordsOf(part)).to.deep.equal([]);
    crash(suspects, 9);
    expect(suspects.verdict(part)).to.equal(Verdict.Quarantined);
  });

  it('takes one survival from the reserve for a crash, however many runs it ended', () => {
    const suspects = create();
    suspects.recordSurvival(part, 0);
    suspects.recordCrash('e#1', [part], 1);
    suspects.recordCrash('e#1', [part], 1);
    expect(suspects.size).to.equal(0);
    suspects.recordCrash('e#2', [part], 2);
    expect(suspects.recordsOf(part)[0].crashes).to.deep.equal(['e#2']);
  });

  it('forgets survivals that are too old to vouch for a part', () => {
    const suspects = create();
    suspects.recordSurvival(part, 0);
    expect(suspects.isVouchedFor(part, minuteMs)).to.equal(true);
    expect(suspects.isVouchedFor(part, 11 * minuteMs)).to.equal(false);
  });

  it('clears the crashes that peers report of a part with survivals in reserve here', () => {
    const [first, second] = [create('a'), create('b')];
    for (let run = 0; run < 4; run += 1) {
      second.recordSurvival(part, 0);
    }
    crash(first, 3);
    expect(first.verdict(part)).to.equal(Verdict.Quarantined);
    expect(second.merge(first.snapshot(), 1)).to.deep.equal([part]);
    expect(second.verdict(part)).to.equal(Verdict.Clear);
    first.merge(second.snapshot(), 2);
    expect(first.verdict(part)).to.equal(Verdict.Clear);
  });

  it('puts a part on probation, for one process at a time, and renews its quarantine for longer', () => {
    const [first, second] = [create('a'), create('b')];
    crash(first, 3);
    expect(first.acquire(part, 4 * minuteMs)).to.equal(false);
    const trialMs = 5 * minuteMs;
    expect(first.verdict(part, trialMs)).to.equal(Verdict.Suspect);
    expect(first.acquire(part, trialMs)).to.equal(true);
    second.merge(first.snapshot(), trialMs);
    expect(second.verdict(part, trialMs + 1)).to.equal(Verdict.Quarantined);
    expect(second.acquire(part, trialMs + 1)).to.equal(false);
    first.recordCrash('e#trial', [part], trialMs);
    expect(first.quarantineRemainingMs(part, trialMs)).to.equal(20 * minuteMs);
  });

  it('releases a part on probation that an endpoint survives', () => {
    const suspects = create();
    crash(suspects, 3);
    expect(suspects.acquire(part, 5 * minuteMs)).to.equal(true);
    expect(suspects.recordSurvival(part, 5 * minuteMs)).to.equal(true);
    expect(suspects.verdict(part, 5 * minuteMs)).to.equal(Verdict.Clear);
  });

  it('allows three trials of a deadly part in a day after the fifth crash', () => {
    const suspects = create();
    crash(suspects, 5);
    let trials = 0;
    for (let nowMs = 0; nowMs < 24 * 60 * minuteMs; nowMs += minuteMs) {
      if (suspects.acquire(part, nowMs)) {
        trials += 1;
        suspects.recordCrash(`trial#${trials}`, [part], nowMs);
      }
      suspects.merge([], nowMs);
    }
    expect(trials).to.be.within(1, 3);
  });

  it('keeps a bounded number of survivals and crashes', () => {
    const suspects = create();
    for (let index = 0; index < 5_000; index += 1) {
      suspects.recordSurvival(partSubject(`s${index}`), index);
      suspects.recordCrash(`e#${index}`, [`r${index}`, partSubject(`c${index}`), part], index);
    }
    expect(suspects.isVouchedFor(partSubject('s0'), 5_000)).to.equal(false);
    expect(suspects.size).to.be.at.most(1_024);
    expect(suspects.verdict(part)).to.equal(Verdict.Quarantined);
    expect(JSON.stringify(suspects.snapshot()).length).to.be.below(1_048_576);
  });

  it('comes to the same verdicts at all processes, whatever the order of crashes, survivals and merges', () => {
    const subjects = ['r1', 'r2', partSubject('p'), partSubject('q'), partSubject('s')];
    const step = fc.record({
      process: fc.nat(2),
      from: fc.nat(2),
      kind: fc.constantFrom('crash', 'survival', 'merge'),
      crash: fc.nat(6),
      present: fc.subarray(subjects, { minLength: 1 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        const processes = ['a', 'b', 'c'].map(create);
        steps.forEach(({ process, from, kind, crash: id, present }, nowMs) => {
          const suspects = processes[process];
          if (kind === 'crash') {
            suspects.recordCrash(`e#${id}`, present, nowMs);
          } else if (kind === 'survival') {
            present.forEach((subject) => suspects.recordSurvival(subject, nowMs));
          } else {
            suspects.merge(processes[from].snapshot(), nowMs);
          }
        });
        // Each round may use up reserves, which are finite.
        for (let round = 0; round < 20; round += 1) {
          processes.forEach((process) =>
            processes.forEach((other) => process.merge(other.snapshot(), 50)),
          );
        }
        for (const subject of subjects) {
          const verdicts = new Set(processes.map((process) => process.verdict(subject)));
          expect(verdicts.size, subject).to.equal(1);
        }
      }),
      { seed: 2901, numRuns: 400 },
    );
  });

  it('counts the same evidence in whatever order crashes and records arrive', () => {
    const observation = fc.record({
      crash: fc.nat(8),
      present: fc.subarray(['r', partSubject('p'), partSubject('q')], { minLength: 1 }),
    });
    fc.assert(
      fc.property(
        fc
          .array(observation, { maxLength: 20 })
          .chain((list) =>
            fc.tuple(fc.constant(list), fc.shuffledSubarray(list, { minLength: list.length })),
          ),
        ([list, shuffled]) => {
          const verdictsOf = (observations: typeof list) => {
            const suspects = create();
            observations.forEach(({ crash: id, present }) => {
              const peer = create('b');
              peer.recordCrash(`e#${id}`, present, 0);
              suspects.merge(peer.snapshot(), 0);
            });
            return ['r', partSubject('p'), partSubject('q')].map((each) => suspects.verdict(each));
          };
          expect(verdictsOf(shuffled)).to.deep.equal(verdictsOf(list));
        },
      ),
      { seed: 2902, numRuns: 400 },
    );
  });
});
