import { expect } from 'chai';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { RetryBudget } from '../../common/retryBudget.js';

describe('RetryBudget', () => {
  const options = { ratio: 0.2, slack: 100, windowMs: 10_000 };

  it('keeps all gateways together within ratio and slack, whatever the window', () => {
    const clock = new FakeClock();
    const gateways = Array.from({ length: 5 }, () => new RetryBudget(options, () => 5, clock));
    const sent: { atMs: number; repeats: number; requests: number }[] = [];
    for (let step = 0; step < 300; step += 1) {
      clock.advance(100);
      let repeats = 0;
      for (const gateway of gateways) {
        gateway.countRequest();
        for (let wish = 0; wish < 10; wish += 1) {
          repeats += gateway.tryConsume() ? 1 : 0;
        }
      }
      sent.push({ atMs: clock.monotonicMs(), repeats, requests: 5 });
      const window = sent.filter(({ atMs }) => atMs > clock.monotonicMs() - options.windowMs);
      const total = (key: 'repeats' | 'requests') =>
        window.reduce((sum, each) => sum + each[key], 0);
      expect(total('repeats')).to.be.at.most(options.ratio * total('requests') + options.slack);
    }
    expect(sent.reduce((sum, { repeats }) => sum + repeats, 0)).to.be.greaterThan(100);
  });
});
