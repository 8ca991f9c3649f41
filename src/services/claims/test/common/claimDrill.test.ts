import { expect } from 'chai';
import { SeededRandom } from '../../../../base/common/random.js';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { ObjectKind } from '../../../objects/common/objects.js';
import { DrillStore, DrillStoreClient } from '../../../objects/test/common/drillStore.js';
import { ClaimState, type Claim } from '../../common/claim.js';
import { restoreMs } from '../../../objects/common/restorePeriod.js';
import { ClaimLedger } from '../../common/claimLedger.js';

const options = { shards: 2, maxHeadClaims: 6, retentionMs: 1_000_000, timeoutMs: 1_000_000 };

const target = { endpoint: 'e', incarnation: 'e-1' };

/** Step of a run, in milliseconds; each process calls the store at least once in each. */
const stepMs = 1_000;

const stepsPerRun = 40;

/** Lets all promises that can settle do so. */
function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

class Process {
  readonly client: DrillStoreClient;

  readonly ledger: ClaimLedger;

  constructor(
    store: DrillStore,
    readonly clock: FakeClock,
  ) {
    this.client = new DrillStoreClient(store);
    this.ledger = new ClaimLedger(options, this.client, clock);
  }

  /** Claims a key for the first time; returns whether the claim is confirmed. */
  async claim(key: string, nonce: string): Promise<boolean> {
    const next: Claim = {
      key,
      request: 'r',
      attempt: 1,
      target,
      keeper: target,
      nonce,
      atMs: this.clock.wallMs(),
      state: ClaimState.Claimed,
    };
    const outcome = await this.ledger.change({ key, expected: undefined, next });
    return outcome.isOk() && outcome.value.applied;
  }
}

describe('ClaimLedger on a store that comes back from older copies', () => {
  it('lets no key be claimed twice while the processes that claimed keys live', async () => {
    let confirmed = 0;
    let forgotten = 0;
    for (let seed = 1; seed <= 200; seed += 1) {
      const random = new SeededRandom(seed);
      const clock = new FakeClock();
      const store = new DrillStore();
      const processes = [0, 1, 2].map(() => new Process(store, clock));
      const claimed = new Map<string, string>();
      let copy = store.copy();
      for (let step = 0; step < stepsPerRun; step += 1) {
        clock.advance(stepMs);
        if (random.float() < 0.2) {
          copy = store.copy();
        }
        if (random.float() < 0.08) {
          store.comeBackFrom(copy);
          forgotten += 1;
        }
        const order = random.float() < 0.5 ? processes : [...processes].reverse();
        for (const [index, process] of order.entries()) {
          const key = `0000000${random.integer(0, 9)}`;
          const nonce = `${seed}-${step}-${index}`;
          if (random.float() < 0.5 && (await process.claim(key, nonce))) {
            expect(claimed.get(key), `seed ${seed}, step ${step}, key ${key}`).to.equal(undefined);
            claimed.set(key, nonce);
            confirmed += 1;
          }
          await process.client.get(ObjectKind.Leases, 'polled like a feed');
        }
      }
      const reader = new Process(store, clock);
      for (let elapsedMs = 0; elapsedMs < restoreMs; elapsedMs += stepMs) {
        clock.advance(stepMs);
        await settle();
      }
      for (const [key, nonce] of claimed) {
        const change = { key, expected: undefined, next: undefined };
        const current = (await reader.ledger.change(change)).unwrap();
        expect(current.claim?.nonce, `seed ${seed}, key ${key}`).to.equal(nonce);
      }
    }
    expect(confirmed).to.be.greaterThan(1_000);
    expect(forgotten).to.be.greaterThan(100);
  });

  it('answers that it does not know, rather than claim a key, until claims are written again', async () => {
    const clock = new FakeClock();
    const store = new DrillStore();
    const [first, second] = [new Process(store, clock), new Process(store, clock)];
    await second.client.get(ObjectKind.Leases, 'any');
    const copy = store.copy();
    expect(await first.claim('00000001', 'n1')).to.equal(true);
    store.comeBackFrom(copy);
    const change = { key: '00000001', expected: undefined, next: undefined };
    await second.client.get(ObjectKind.Leases, 'any');
    expect((await second.ledger.change(change)).isErr()).to.equal(true);
    await first.client.get(ObjectKind.Leases, 'any');
    clock.advance(restoreMs);
    const known = await second.ledger.change(change);
    expect(known.isOk() && known.value.claim?.nonce).to.equal('n1');
    const started = new Process(store, clock);
    expect(await started.claim('00000002', 'n2')).to.equal(false);
    clock.advance(restoreMs);
    expect(await started.claim('00000002', 'n2')).to.equal(true);
  });
});
