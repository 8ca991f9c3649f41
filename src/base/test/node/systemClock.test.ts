import { expect } from 'chai';
import { sleep, SystemClock } from '../../node/systemClock.js';

describe('SystemClock', () => {
  // Guards against a long time limit that ends at once, since timers can't take it.
  [2 ** 31, 3e9, 1e308, Number.POSITIVE_INFINITY].forEach((delayMs) => {
    it(`does not end a wait of ${delayMs} ms early`, async () => {
      const ended: string[] = [];
      const cancel = new SystemClock().after(delayMs, () => ended.push('timer'));
      const controller = new AbortController();
      const slept = sleep(delayMs, controller.signal).then(() => ended.push('sleep'));
      await sleep(50);
      expect(ended).to.deep.equal([]);
      cancel();
      controller.abort();
      await slept;
    });
  });
});
