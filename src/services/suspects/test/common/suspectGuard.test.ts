import { expect } from 'chai';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import type { SuspectRecord } from '../../common/suspectRecord.js';
import { CrashSuspects } from '../../common/crashSuspects.js';
import { partSubject } from '../../common/subject.js';
import { SuspectGuard } from '../../common/suspectGuard.js';

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Creates a guard whose sharing completes only when the test calls `done`. */
function create() {
  const clock = new FakeClock();
  const suspects = new CrashSuspects('a');
  const shares: { readonly records: readonly SuspectRecord[]; readonly done: () => void }[] = [];
  const sharing = {
    share: (wanted: readonly string[]) =>
      new Promise<readonly string[]>((resolve) => {
        shares.push({ records: suspects.snapshot(), done: () => resolve(wanted) });
      }),
  };
  const guard = new SuspectGuard(suspects, sharing, clock, clock, { log: () => undefined });
  const events: string[] = [];
  const request = {
    fingerprint: 'f',
    onAdmitted: (isIsolated: boolean) => events.push(isIsolated ? 'isolated' : 'unrestricted'),
    onRefused: () => events.push('refused'),
  };
  return { guard, shares, events, request, clock };
}

describe('SuspectGuard', () => {
  it('admits an unsuspected request at once, without isolation', () => {
    const { guard, events, request } = create();
    guard.admit(request);
    expect(events).to.deep.equal(['unrestricted']);
  });

  it('shares the second crash with the other entries before it refuses the caller', async () => {
    const { guard, shares, events, request } = create();
    guard.recordCrash('e#1', 'f');
    guard.recordCrash('e#2', 'f');
    guard.admit(request);
    await nextTurn();
    expect(events).to.deep.equal([]);
    expect(shares[0].records[0].crashes).to.deep.equal(['e#1', 'e#2']);
    shares[0].done();
    await nextTurn();
    expect(events).to.deep.equal(['refused']);
  });

  it('runs one request of a fingerprint at a time', async () => {
    const { guard, shares, events, request } = create();
    guard.recordCrash('e#1', 'f');
    guard.admit(request);
    guard.admit({ ...request });
    await nextTurn();
    shares[0].done();
    await nextTurn();
    expect(events).to.deep.equal(['isolated']);
    guard.recordSurvival('f');
    await nextTurn();
    shares.slice(1).forEach((share) => share.done());
    await nextTurn();
    expect(events).to.deep.equal(['isolated', 'unrestricted']);
  });

  it('refuses a request if another entry reported two crashes while the platform is down', async () => {
    const { guard, shares, events, request } = create();
    const other = create();
    other.guard.onDidSuspect((records) => guard.merge(records));
    other.guard.recordCrash('e#1', 'f');
    other.guard.recordCrash('e#2', 'f');
    guard.admit(request);
    await nextTurn();
    expect(shares).to.have.length(0);
    expect(events).to.deep.equal(['refused']);
  });

  it('runs one request that holds a part on probation, and refuses the others', async () => {
    const { guard, shares, events, request, clock } = create();
    const parts = [partSubject('p')];
    guard.recordCrash('e#1', 'g', parts);
    guard.recordCrash('e#2', 'h', parts);
    guard.admit({ ...request, parts });
    await nextTurn();
    shares[0].done();
    await nextTurn();
    expect(events).to.deep.equal(['refused']);
    clock.advance(300_000);
    guard.admit({ ...request, parts });
    guard.admit({ ...request, parts });
    await nextTurn();
    shares.slice(1).forEach((share) => share.done());
    await nextTurn();
    expect(events).to.deep.equal(['refused', 'isolated', 'refused']);
    guard.recordPartSurvivals(parts);
    guard.admit({ ...request, parts });
    expect(events.at(-1)).to.equal('unrestricted');
  });

  it('runs no trial of a part while the other processes can not be asked', async () => {
    const clock = new FakeClock();
    const suspects = new CrashSuspects('a');
    const sharing = { share: () => Promise.resolve(undefined) };
    const guard = new SuspectGuard(suspects, sharing, clock, clock, { log: () => undefined });
    const parts = [partSubject('p')];
    guard.recordCrash('e#1', 'g', parts);
    guard.recordCrash('e#2', 'h', parts);
    clock.advance(300_000);
    const events: string[] = [];
    guard.admit({
      fingerprint: 'f',
      parts,
      onAdmitted: () => events.push('admitted'),
      onRefused: () => events.push('refused'),
    });
    await nextTurn();
    await nextTurn();
    expect(events).to.deep.equal(['refused']);
  });

  it('stores suspicions again until the platform has them', async () => {
    const clock = new FakeClock();
    const outcomes = [undefined, undefined, []];
    let calls = 0;
    const sharing = {
      share: () => {
        calls += 1;
        return Promise.resolve(outcomes[calls - 1]);
      },
    };
    const suspects = new CrashSuspects('a');
    const guard = new SuspectGuard(suspects, sharing, clock, clock, { log: () => undefined });
    guard.recordCrash('e#1', 'f');
    guard.publish();
    for (let second = 0; second < 10; second += 1) {
      await nextTurn();
      clock.advance(1_000);
    }
    expect(calls).to.equal(3);
  });
});
