import { expect } from 'chai';
import { SeededRandom } from '../../../../base/common/random.js';
import { FeedRole } from '../../common/watcherElection.js';
import { FeedFleet, type SimulatedGateway } from './feedFleet.js';

/** Time after a change of the store by which a sound gateway must hold it, in milliseconds. */
const maxLagMs = 2_000;

/** Time after which a gateway or the store counts as sound again, in milliseconds. */
const stableMs = 3_000;

const seedCount = 25;

describe('FeedGossip', () => {
  let fleet: FeedFleet;

  afterEach(() => fleet.close());

  /** Returns what a sound gateway lacks or still holds although the store changed long ago. */
  function findStale(gateway: SimulatedGateway): string | undefined {
    const nowMs = fleet.clock.monotonicMs();
    const { objects: oldest } = fleet.store.stateAt(nowMs - maxLagMs);
    for (const [name, value] of oldest) {
      const hasChangedSince = fleet.store.changes.some(
        ({ atMs, event }) => atMs > nowMs - maxLagMs && event.item.name === name,
      );
      if (!hasChangedSince && gateway.copy.get(name) !== value) {
        return `${gateway.instance} has ${gateway.copy.get(name)} instead of ${value} at ${nowMs}`;
      }
    }
    const recentNames = new Set(
      fleet.store.changes
        .filter(({ atMs }) => atMs > nowMs - maxLagMs)
        .map(({ event }) => event.item.name),
    );
    const surplus = [...gateway.copy.keys()].find(
      (name) => !oldest.has(name) && !recentNames.has(name),
    );
    return surplus && `${gateway.instance} still has ${surplus} at ${nowMs}`;
  }

  function checkSoundGateways(): void {
    const soundSinceMs = fleet.clock.monotonicMs() - stableMs;
    if (fleet.store.isAway || fleet.storeDisturbedMs > soundSinceMs) {
      return;
    }
    const stale = fleet.gateways
      .filter((gateway) => !gateway.isStoreCut && gateway.disturbedMs <= soundSinceMs)
      .map(findStale)
      .find((finding) => finding !== undefined);
    expect(stale).to.equal(undefined);
  }

  it('costs the same number of store calls for 8 and for 64 gateways at rest and under changes', async () => {
    const counts: number[] = [];
    for (const size of [8, 64]) {
      fleet = new FeedFleet(size, 0, new SeededRandom(1));
      await fleet.advance(5_000);
      const { calls } = fleet.store;
      const before = calls.watches + calls.lists + calls.laggingLists;
      for (let change = 0; change < 40; change += 1) {
        fleet.store.write(`e${change % 7}`, `e${change % 7}=${change}`);
        await fleet.advance(200);
      }
      counts.push(calls.watches + calls.lists + calls.laggingLists - before);
      fleet.close();
    }
    expect(counts[1]).to.be.at.most(counts[0] + 2);
  });

  it('brings each change to every gateway within half a second while nothing fails', async () => {
    fleet = new FeedFleet(12, 0, new SeededRandom(2));
    await fleet.advance(4_000);
    for (let change = 0; change < 20; change += 1) {
      fleet.store.write('a', `a=${change}`);
      await fleet.advance(500);
      fleet.gateways.forEach(({ copy }) => expect(copy.get('a')).to.equal(`a=${change}`));
    }
  });

  // Guards against one invalid entry that makes all followers read the store at each of its changes.
  it('spreads changes to objects that cannot be decoded without a list', async () => {
    fleet = new FeedFleet(12, 0, new SeededRandom(8));
    fleet.store.write('a', 'a=1');
    await fleet.advance(4_000);
    const { lists, laggingLists } = fleet.store.calls;
    for (let change = 0; change < 5; change += 1) {
      fleet.store.writeInvalid('a');
      fleet.store.write('b', `b=${change}`);
      await fleet.advance(500);
      fleet.gateways.forEach(({ copy }) => expect([...copy]).to.deep.equal([['b', `b=${change}`]]));
    }
    expect(fleet.store.calls).to.include({ lists, laggingLists });
  });

  it('lets followers watch themselves once both watchers lose the store without notice', async () => {
    fleet = new FeedFleet(6, 0, new SeededRandom(3));
    await fleet.advance(4_000);
    for (const gateway of fleet.gateways) {
      if (gateway.gossip.currentRole !== FeedRole.Follower) {
        gateway.isStoreCut = true;
        gateway.disturbedMs = fleet.clock.monotonicMs();
      }
    }
    fleet.store.write('a', 'a=1');
    await fleet.advance(maxLagMs, checkSoundGateways);
    fleet.gateways
      .filter(({ isStoreCut }) => !isStoreCut)
      .forEach(({ copy }) => expect(copy.get('a')).to.equal('a=1'));
    await fleet.advance(6_000);
    const roles = fleet.gateways
      .filter(({ isStoreCut }) => !isStoreCut)
      .map(({ gossip }) => gossip.currentRole);
    expect(roles).to.include(FeedRole.Primary);
    expect(roles).to.include(FeedRole.Follower);
  });

  it('reaches a gateway that is cut from the store, not from its peers', async () => {
    fleet = new FeedFleet(6, 0, new SeededRandom(4));
    await fleet.advance(4_000);
    fleet.gateways.forEach((gateway, index) => {
      gateway.isStoreCut = index === 0;
    });
    await fleet.advance(6_000);
    fleet.store.write('a', 'a=1');
    await fleet.advance(1_000);
    expect(fleet.gateways[0].copy.get('a')).to.equal('a=1');
  });

  it('reads the store again after an update that could not be applied, and goes on', async () => {
    fleet = new FeedFleet(6, 0, new SeededRandom(7));
    await fleet.advance(4_000);
    const follower = fleet.gateways.find(({ gossip }) => gossip.currentRole === FeedRole.Follower);
    expect(follower).not.to.equal(undefined);
    if (follower) {
      follower.failsOnce = 'a=1';
    }
    fleet.store.write('a', 'a=1');
    await fleet.advance(maxLagMs);
    fleet.gateways.forEach(({ copy }) => expect(copy.get('a')).to.equal('a=1'));
    fleet.store.write('a', 'a=2');
    await fleet.advance(500);
    fleet.gateways.forEach(({ copy }) => expect(copy.get('a')).to.equal('a=2'));
  });

  it('tells followers of an outage that is too short for them to notice', async () => {
    fleet = new FeedFleet(6, 0, new SeededRandom(5));
    await fleet.advance(4_000);
    fleet.store.isAway = true;
    fleet.store.wakeAll();
    await fleet.advance(200);
    fleet.store.isAway = false;
    await fleet.advance(1_500);
    fleet.gateways.forEach(({ recoveriesMs }) => expect(recoveriesMs).to.have.length(1));
  });

  it('does not take a watcher that was cut off alone for an outage of the store', async () => {
    fleet = new FeedFleet(6, 0, new SeededRandom(6));
    await fleet.advance(4_000);
    const primary = fleet.gateways.find(({ gossip }) => gossip.currentRole === FeedRole.Primary);
    expect(primary).not.to.equal(undefined);
    if (primary) {
      primary.isStoreCut = true;
      await fleet.advance(5_000);
      primary.isStoreCut = false;
      await fleet.advance(5_000);
    }
    fleet.gateways
      .filter((gateway) => gateway !== primary)
      .forEach(({ recoveriesMs }) => expect(recoveriesMs).to.have.length(0));
  });

  /** Plays random changes and faults, and checks the copies of sound gateways after each step. */
  async function playFaults(seed: number): Promise<void> {
    const random = new SeededRandom(seed);
    const pick = <V>(values: readonly V[]): V => values[Math.floor(random.float() * values.length)];
    fleet = new FeedFleet(3 + Math.floor(random.float() * 8), random.float() * 0.3, random);
    await fleet.advance(3_000);
    const setCut = (gateway: SimulatedGateway, change: Partial<SimulatedGateway>) => {
      Object.assign(gateway, change);
      gateway.disturbedMs = fleet.clock.monotonicMs();
    };
    const faults: readonly (() => void)[] = [
      () => setCut(pick(fleet.gateways), { isStoreCut: true }),
      () => setCut(pick(fleet.gateways), { isPeersCut: true }),
      () => fleet.replace(pick(fleet.gateways)),
      () => {
        // Faults that meet all watchers at once.
        fleet.gateways
          .filter(({ gossip }) => gossip.currentRole !== FeedRole.Follower)
          .forEach((gateway) => setCut(gateway, { isStoreCut: true }));
      },
      () => {
        fleet.store.isAway = true;
        fleet.storeDisturbedMs = fleet.clock.monotonicMs();
        fleet.store.wakeAll();
      },
      () => {
        fleet.store.forgetHistory();
      },
      () => {
        fleet.gateways
          .filter(({ isStoreCut, isPeersCut }) => isStoreCut || isPeersCut)
          .forEach((gateway) => setCut(gateway, { isStoreCut: false, isPeersCut: false }));
      },
    ];
    for (let round = 0; round < 40; round += 1) {
      const name = `e${Math.floor(random.float() * 6)}`;
      const roll = random.float();
      if (roll < 0.5) {
        fleet.store.write(name, `${name}=${round}`);
      } else if (roll < 0.6) {
        fleet.store.write(name, undefined);
      } else if (roll < 0.65) {
        fleet.store.writeInvalid(name);
      } else if (roll < 0.75) {
        fleet.store.writeElsewhere();
      } else {
        pick(faults)();
      }
      await fleet.advance(random.float() * 900, checkSoundGateways);
      if (fleet.store.isAway && random.float() < 0.5) {
        fleet.store.isAway = false;
        fleet.storeDisturbedMs = fleet.clock.monotonicMs();
      }
    }
  }

  for (let seed = 1; seed <= seedCount; seed += 1) {
    it(`keeps the copies of sound gateways current through random faults, seed ${seed}`, () =>
      playFaults(seed));
  }
});
