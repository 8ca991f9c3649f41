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

const lookMs = 250;

/** A store of one object that counts reads. */
class OneObject {
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

/** A gateway that places until `diesAtMs`, and another that hears it; returns what the other did. */
async function play(
  lengthMs: number,
  diesAtMs: number,
): Promise<{ readonly reads: number; readonly takenAtMs: number | undefined }> {
  const clock = new FakeClock();
  const object = new OneObject();
  const create = (candidate: string) => {
    const lease = new LeaseCandidate({ name: 'l', candidate, durationMs }, object.store, clock);
    return { lease, keeper: new LeaseScheduler(lease, durationMs, () => true, clock) };
  };
  const placer = create('a');
  const other = create('b');
  await placer.keeper.step();
  let takenAtMs: number | undefined;
  for (let nowMs = 0; nowMs < lengthMs; nowMs += lookMs) {
    if (nowMs < diesAtMs) {
      await placer.keeper.step();
      other.keeper.recordPlacerHeartbeat();
    }
    await other.keeper.step();
    if (other.lease.term() !== undefined) {
      takenAtMs ??= nowMs;
    }
    clock.advance(lookMs);
  }
  return { reads: object.reads, takenAtMs };
}

describe('LeaseScheduler', () => {
  it('asks the store no more while it hears from the placer', async () => {
    const { reads, takenAtMs } = await play(50_000, Infinity);
    expect(takenAtMs).to.equal(undefined);
    expect(reads).to.be.at.most(3);
  });

  it('takes the lease of a placer that fell silent well before its end', async () => {
    const { takenAtMs } = await play(20_000, 10_000);
    expect((takenAtMs ?? Infinity) - 10_000).to.be.lessThan(durationMs / 2);
  });
});
