import { expect } from 'chai';
import fc from 'fast-check';
import { BodyAccount, BodyState, type BodyEntry } from '../../common/bodyAccount.js';
import { IntakeCut } from '../../common/intakeCut.js';
import { announcement, boundsWith, RecordingOwner } from './intakeFixtures.js';

const largestBytes = 4_194_304;

/** Bodies of the largest legal size that the part for large bodies holds. */
const largeRoom = 7;

describe('BodyAccount', () => {
  let account: BodyAccount;

  function open(declaredBytes: number | undefined, nowMs = 0) {
    const owner = new RecordingOwner();
    return { owner, entry: account.open(announcement(declaredBytes), owner, nowMs) };
  }

  function receive(entry: BodyEntry | undefined, bytes: number, nowMs = 0): boolean {
    return entry !== undefined && account.receive(entry, bytes, nowMs);
  }

  beforeEach(() => {
    account = new BodyAccount(boundsWith());
  });

  it('reads a body of the largest legal size at once when it is empty', () => {
    const { entry } = open(largestBytes);
    expect(entry?.state).to.equal(BodyState.Reading);
  });

  it('lets a body wait unread while the others make progress, and then refuses it', () => {
    const others = Array.from({ length: largeRoom }, () => open(largestBytes));
    const { owner, entry } = open(largestBytes);
    expect(entry?.state).to.equal(BodyState.Waiting);
    for (let nowMs = 0; nowMs < 1_000; nowMs += 250) {
      others.forEach((other) => receive(other.entry, 65_536, nowMs));
      account.sweep(nowMs);
      expect(owner.refusal).to.equal(undefined);
    }
    account.sweep(1_000);
    expect(owner.refusal).to.equal(IntakeCut.BodyNoRoom);
    expect(owner.resumes).to.equal(0);
  });

  it('gives the room of a body just short of its end to one that waits, once it makes no progress', () => {
    const stalled = Array.from({ length: largeRoom }, () => open(largestBytes));
    stalled.forEach(({ entry }, index) => receive(entry, largestBytes - 1, index));
    const waiting = open(largestBytes, 100);
    expect(waiting.entry?.state).to.equal(BodyState.Waiting);
    account.sweep(501);
    expect(waiting.owner.resumes).to.equal(1);
    const refusals = stalled.map(({ owner }) => owner.refusal);
    expect(refusals).to.deep.equal([
      IntakeCut.BodyYielded,
      ...Array.from({ length: largeRoom - 1 }, () => undefined),
    ]);
  });

  it('never lets a complete body give way', () => {
    const complete = Array.from({ length: largeRoom }, () => open(largestBytes));
    complete.forEach(({ entry }) => {
      receive(entry, largestBytes);
      account.complete(entry!, 0);
    });
    const { owner } = open(largestBytes);
    account.sweep(19_000);
    expect(owner.refusal).to.equal(IntakeCut.BodyNoRoom);
    expect(complete.every(({ owner: each }) => each.refusal === undefined)).to.equal(true);
  });

  it('serves small bodies while large ones fill their part', () => {
    for (let index = 0; index < 3 * largeRoom; index += 1) {
      open(largestBytes);
    }
    const { owner, entry } = open(10_000);
    expect(receive(entry, 10_000)).to.equal(true);
    expect(owner.refusal).to.equal(undefined);
  });

  it('lets the small body without progress for longest give way to a flood of others', () => {
    const owners = Array.from({ length: 700 }, (_each, index) => {
      const { owner, entry } = open(65_536, index);
      receive(entry, 65_535, index);
      return owner;
    });
    const firstKept = owners.findIndex(({ refusal }) => refusal === undefined);
    expect(firstKept).to.be.greaterThan(0);
    expect(owners.slice(firstKept).every(({ refusal }) => refusal === undefined)).to.equal(true);
    expect(account.smallBytes + account.largeBytes).to.be.at.most(40_000_000);
  });

  it('gives up a body without any progress only after the stall timeout', () => {
    const { owner } = open(1_000);
    account.sweep(9_999);
    expect(owner.refusal).to.equal(undefined);
    account.sweep(10_000);
    expect(owner.refusal).to.equal(IntakeCut.BodyStalled);
  });

  it('does not count the time in which it lets a body wait as a stall', () => {
    const { owner, entry } = open(1_000);
    entry!.isPaced = true;
    account.sweep(15_000);
    expect(owner.refusal).to.equal(undefined);
  });

  it('refuses a body that is not complete by the deadline of its request', () => {
    const { owner, entry } = open(1_000);
    receive(entry, 999, 19_999);
    account.sweep(20_000);
    expect(owner.refusal).to.equal(IntakeCut.BodyLate);
  });

  it('lets a chunked body go on growing before bodies that have not begun', () => {
    for (let index = 0; index < largeRoom; index += 1) {
      receive(open(largestBytes).entry, 65_536, 100);
    }
    const { entry } = open(undefined, 100);
    const later = open(largestBytes, 100);
    expect(receive(entry, 300_000, 100)).to.equal(true);
    expect(later.entry?.state).to.equal(BodyState.Waiting);
  });

  it('completes bodies in chunks that have filled their part together', () => {
    const bodies = Array.from({ length: 2 * largeRoom }, () => ({
      entry: open(undefined).entry!,
      restBytes: largestBytes,
    }));
    const receiveNext = (body: (typeof bodies)[number]): void => {
      if (body.entry.state === BodyState.Reading) {
        body.restBytes -= 65_536;
        receive(body.entry, 65_536);
      }
      if (body.restBytes === 0) {
        account.close(body.entry, 0);
      }
    };
    for (let round = 0; round < 1_000; round += 1) {
      bodies.forEach(receiveNext);
    }
    expect(bodies.map(({ restBytes }) => restBytes)).to.deep.equal(bodies.map(() => 0));
  });

  it('admits a body that has begun only with room for its stated length', () => {
    const others = Array.from({ length: largeRoom }, () => open(largestBytes));
    const { entry } = open(largestBytes);
    receive(entry, 65_536);
    account.close(others[0].entry!, 0);
    expect(entry?.state).to.equal(BodyState.Reading);
    expect(account.largeBytes).to.equal(largeRoom * largestBytes);
  });

  describe('with senders', () => {
    function openFrom(
      origin: string,
      changes: { declaredBytes?: number; neededByMs?: number } = {},
    ) {
      const owner = new RecordingOwner();
      const { declaredBytes = largestBytes, neededByMs } = changes;
      const sized = { ...announcement(declaredBytes), origin, neededByMs };
      return { owner, entry: account.open(sized, owner, 0) };
    }

    it('reads a body at once while those of another sender take turns', () => {
      const held = Array.from({ length: largeRoom }, () => openFrom('busy'));
      expect(held.map(({ entry }) => entry?.state)).to.include(BodyState.Waiting);
      expect(openFrom('other').entry?.state).to.equal(BodyState.Reading);
    });

    it('lets a body give way that cannot be complete in time at its present rate', () => {
      const slow = ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map((origin) =>
        openFrom(origin, { neededByMs: 3_000 }),
      );
      const { entry } = openFrom('other');
      for (let nowMs = 100; nowMs <= 700; nowMs += 100) {
        slow.forEach((each) => receive(each.entry, 16_384, nowMs));
      }
      expect(entry?.state).to.equal(BodyState.Waiting);
      account.sweep(800);
      expect(entry?.state).to.equal(BodyState.Reading);
    });
  });

  it('keeps to its bound for any sequence of bodies, and frees everything in the end', () => {
    const step = fc.record({
      declaredBytes: fc.option(fc.integer({ min: 1, max: largestBytes }), { nil: undefined }),
      pieces: fc.array(fc.integer({ min: 1, max: 65_536 }), { maxLength: 40 }),
      pauseMs: fc.integer({ min: 0, max: 800 }),
      isCompleted: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        account = new BodyAccount(boundsWith());
        let nowMs = 0;
        const entries: BodyEntry[] = [];
        steps.forEach(({ declaredBytes, pieces, pauseMs, isCompleted }) => {
          nowMs += pauseMs;
          account.sweep(nowMs);
          const { entry } = open(declaredBytes, nowMs);
          if (entry === undefined) {
            return;
          }
          entries.push(entry);
          let rest = declaredBytes ?? largestBytes;
          const isRead = pieces.every((bytes) => {
            const taken = Math.min(bytes, rest);
            rest -= taken;
            return entry.state === BodyState.Reading && account.receive(entry, taken, nowMs);
          });
          if (isCompleted && isRead) {
            account.complete(entry, nowMs);
          }
          // A tenth may be overdrawn, and one more read and its doubling follow.
          expect(account.smallBytes + account.largeBytes).to.be.at.most(40_000_000 * 1.1 + 200_000);
        });
        entries.forEach((entry) => account.close(entry, nowMs));
        expect(account.smallBytes).to.equal(0);
        expect(account.largeBytes).to.equal(0);
        expect(account.incompleteCount).to.equal(0);
      }),
      { seed: 7, numRuns: 200 },
    );
  });
});
