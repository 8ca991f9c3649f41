import { expect } from 'chai';
import { SeededRandom } from '../../../../base/common/random.js';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { RetryBudget } from '../../common/retryBudget.js';

describe('RetryBudget', () => {
  const options = { retriesPerRequest: 0.2, minRetriesPerWindow: 100, windowMs: 10_000 };

  it('keeps the retries of all gateways within the budget in every window', () => {
    const clock = new FakeClock();
    const gateways = Array.from({ length: 5 }, () => new RetryBudget(options, () => 5, 0, clock));
    const steps: { atMs: number; retries: number; requests: number }[] = [];
    for (let step = 0; step < 300; step += 1) {
      clock.advance(100);
      let retries = 0;
      for (const gateway of gateways) {
        gateway.countRequest();
        for (let attempt = 0; attempt < 10; attempt += 1) {
          retries += gateway.tryConsume() ? 1 : 0;
        }
      }
      steps.push({ atMs: clock.monotonicMs(), retries, requests: 5 });
      const window = steps.filter(({ atMs }) => atMs > clock.monotonicMs() - options.windowMs);
      const total = (key: 'retries' | 'requests') =>
        window.reduce((sum, each) => sum + each[key], 0);
      expect(total('retries')).to.be.at.most(
        options.retriesPerRequest * total('requests') + options.minRetriesPerWindow,
      );
    }
    expect(steps.reduce((sum, { retries }) => sum + retries, 0)).to.be.greaterThan(100);
  });

  it('keeps the retries of gateways that restart within the budget in every window', () => {
    const random = new SeededRandom(18);
    const clock = new FakeClock();
    const create = () => new RetryBudget(options, () => 5, clock.monotonicMs(), clock);
    const gateways = Array.from({ length: 5 }, create);
    const steps: { atMs: number; retries: number; requests: number }[] = [];
    let mostRetries = 0;
    for (let step = 0; step < 1_000; step += 1) {
      clock.advance(100);
      const isRush = random.float() < 0.2;
      let retries = 0;
      gateways.forEach((gateway, index) => {
        gateway.countRequest();
        for (let attempt = 0; isRush && attempt < 100; attempt += 1) {
          retries += gateway.tryConsume() ? 1 : 0;
        }
        if (step % 110 === 109 || random.float() < 0.002) {
          gateways[index] = create();
        }
      });
      steps.push({ atMs: clock.monotonicMs(), retries, requests: 5 });
      const window = steps.filter(({ atMs }) => atMs > clock.monotonicMs() - options.windowMs);
      const total = (key: 'retries' | 'requests') =>
        window.reduce((sum, each) => sum + each[key], 0);
      expect(total('retries'), `step ${step}`).to.be.at.most(
        options.retriesPerRequest * total('requests') + options.minRetriesPerWindow,
      );
      mostRetries = Math.max(mostRetries, total('retries'));
    }
    expect(mostRetries).to.be.greaterThan(100);
  });

  it('does not charge a retry that was not sent', () => {
    const clock = new FakeClock();
    const budget = new RetryBudget(options, () => 5, -20_000, clock);
    let consumed = 0;
    while (budget.tryConsume()) {
      consumed += 1;
    }
    budget.refund();
    expect(consumed).to.be.greaterThan(0);
    expect(budget.tryConsume()).to.equal(true);
    expect(budget.tryConsume()).to.equal(false);
  });
});
