import { expect } from 'chai';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { EndpointHealth } from '../../common/endpointHealth.js';
import { ConsecutiveFailures, SequentialTest } from '../../common/failureDetector.js';

const limits = { firstEjectionMs: 1_000, maxEjectionMs: 4_000, maxEjectedFraction: 0.34 };

function create(clock: FakeClock, group: readonly string[]) {
  const ejected = new Set<string>();
  const health = new EndpointHealth(
    limits,
    () => new ConsecutiveFailures(2),
    () => group,
    clock,
    { log: () => undefined },
  );
  health.onDidChange((change) => {
    if (change.ejected) {
      ejected.add(change.endpoint);
    } else {
      ejected.delete(change.endpoint);
    }
  });
  return { health, ejected };
}

describe('EndpointHealth', () => {
  it('never ejects more than the maximum fraction of the endpoints that do the same work', () => {
    const { health, ejected } = create(new FakeClock(), ['a', 'b', 'c']);
    ['a', 'b', 'c'].forEach((endpoint) => {
      health.record(endpoint, true);
      health.record(endpoint, true);
    });
    expect([...ejected]).to.deep.equal(['a']);
  });

  it('does not eject the only endpoint', () => {
    const { health, ejected } = create(new FakeClock(), ['a']);
    health.record('a', true);
    health.record('a', true);
    expect(ejected.size).to.equal(0);
  });

  it('readmits an endpoint, and ejects it for longer the next time', () => {
    const clock = new FakeClock();
    const { health, ejected } = create(clock, ['a', 'b', 'c']);
    const recordTwoFailures = () => [health.record('a', true), health.record('a', true)];
    recordTwoFailures();
    clock.advance(1_000);
    health.endExpiredEjections();
    expect(ejected.size).to.equal(0);
    recordTwoFailures();
    clock.advance(1_000);
    health.endExpiredEjections();
    expect(ejected.size).to.equal(1);
    clock.advance(1_000);
    health.endExpiredEjections();
    expect(ejected.size).to.equal(0);
  });
});

describe('SequentialTest', () => {
  it('does not signal before the minimum number of failures', () => {
    const test = new SequentialTest({
      baseRate: 0.01,
      minFailures: 3,
      criticalValue: 1,
      maxExpectedFailures: 5,
    });
    expect([test.record(true), test.record(true), test.record(true)]).to.deep.equal([
      false,
      false,
      true,
    ]);
  });
});
