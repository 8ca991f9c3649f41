import { expect } from 'chai';
import { Err, Ok } from 'ts-results-es';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { LeaseCandidate } from '../../../../services/lease/common/lease.js';
import {
  absentVersion,
  VersionConflictError,
  type IObjectStore,
} from '../../../../services/objects/common/objects.js';
import { LeaseScheduler } from '../../common/leaseScheduler.js';

const durationMs = 6_000;

const stepIntervalMs = 250;

/** Store of a single object that counts reads. */
class SingleObjectStore {
  reads = 0;

  private version = absentVersion;

  private value: unknown;

  readonly store = {
    get: () => {
      this.reads += 1;
      const stored = { value: this.value, version: this.version, name: 'l' };
      return Promise.resolve(Ok(this.value === undefined ? undefined : stored));
    },
    put: (_kind: unknown, _name: string, value: unknown, version: number) => {
      if (version !== this.version) {
        return Promise.resolve(Err(new VersionConflictError('l')));
      }
      this.value = value;
      this.version += 1;
      return Promise.resolve(Ok(this.version));
    },
  } as unknown as IObjectStore;
}

/**
 * Runs a placer that stops at `stopsAtMs` and a standby gateway that receives its heartbeats.
 *
 * @returns The reads of the store, and when the standby acquired the lease.
 */
async function runPlacerAndStandby(
  lengthMs: number,
  stopsAtMs: number,
): Promise<{ readonly reads: number; readonly acquiredAtMs: number | undefined }> {
  const clock = new FakeClock();
  const objectStore = new SingleObjectStore();
  const create = (candidate: string) => {
    const lease = new LeaseCandidate(
      { name: 'l', candidate, durationMs },
      objectStore.store,
      clock,
    );
    return { lease, scheduler: new LeaseScheduler(lease, durationMs, () => true, clock) };
  };
  const placer = create('a');
  const standby = create('b');
  await placer.scheduler.step();
  let acquiredAtMs: number | undefined;
  for (let nowMs = 0; nowMs < lengthMs; nowMs += stepIntervalMs) {
    if (nowMs < stopsAtMs) {
      await placer.scheduler.step();
      standby.scheduler.recordPlacerHeartbeat();
    }
    await standby.scheduler.step();
    if (standby.lease.term() !== undefined) {
      acquiredAtMs ??= nowMs;
    }
    clock.advance(stepIntervalMs);
  }
  return { reads: objectStore.reads, acquiredAtMs };
}

describe('LeaseScheduler', () => {
  it('makes no store calls while it receives heartbeats from the placer', async () => {
    const { reads, acquiredAtMs } = await runPlacerAndStandby(50_000, Infinity);
    expect(acquiredAtMs).to.equal(undefined);
    expect(reads).to.be.at.most(3);
  });

  it('takes over the lease of a silent placer well before the lease expires', async () => {
    const { acquiredAtMs } = await runPlacerAndStandby(20_000, 10_000);
    expect((acquiredAtMs ?? Infinity) - 10_000).to.be.lessThan(durationMs / 2);
  });
});
