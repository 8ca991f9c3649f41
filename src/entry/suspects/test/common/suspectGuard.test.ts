import { expect } from 'chai';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import type { SuspectRecord } from '../../../../services/link/common/messages.js';
import { CrashSuspects } from '../../common/crashSuspects.js';
import { SuspectGuard } from '../../common/suspectGuard.js';

function turn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** A guard whose sharing waits until the test lets it go on. */
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
  const waiter = {
    fingerprint: 'f',
    proceed: (apart: boolean) => events.push(apart ? 'apart' : 'free'),
    refuse: () => events.push('refused'),
  };
  return { guard, shares, events, waiter };
}

describe('SuspectGuard', () => {
  it('lets a request run freely that nothing is known of', () => {
    const { guard, events, waiter } = create();
    guard.admit(waiter);
    expect(events).to.deep.equal(['free']);
  });

  it('tells the other entries of the second crash before it refuses the caller', async () => {
    const { guard, shares, events, waiter } = create();
    guard.crashed('e#1', 'f');
    guard.crashed('e#2', 'f');
    guard.admit(waiter);
    await turn();
    expect(events).to.deep.equal([]);
    expect(shares[0].records[0].crashes).to.deep.equal(['e#1', 'e#2']);
    shares[0].done();
    await turn();
    expect(events).to.deep.equal(['refused']);
  });

  it('runs one request of a fingerprint at a time', async () => {
    const { guard, shares, events, waiter } = create();
    guard.crashed('e#1', 'f');
    guard.admit(waiter);
    guard.admit({ ...waiter });
    await turn();
    shares[0].done();
    await turn();
    expect(events).to.deep.equal(['apart']);
    guard.clear('f');
    await turn();
    shares.slice(1).forEach((share) => share.done());
    await turn();
    expect(events).to.deep.equal(['apart', 'free']);
  });

  it('refuses a request that another entry saw crash twice while the platform was away', async () => {
    const { guard, shares, events, waiter } = create();
    const other = create();
    other.guard.onDidSuspect((records) => guard.merge(records));
    other.guard.crashed('e#1', 'f');
    other.guard.crashed('e#2', 'f');
    guard.admit(waiter);
    await turn();
    expect(shares).to.have.length(0);
    expect(events).to.deep.equal(['refused']);
  });
});
