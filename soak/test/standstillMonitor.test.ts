import { expect } from 'chai';
import { StandstillMonitor } from '../node/standstillMonitor.js';
import { sleep } from '../node/soakFleet.js';

describe('StandstillMonitor', () => {
  it('records the span in which the event loop was blocked', async () => {
    const monitor = new StandstillMonitor();
    await sleep(120);
    const startMs = Date.now();
    while (Date.now() < startMs + 500) {
      // block the event loop
    }
    const endMs = Date.now();
    await sleep(120);
    monitor.close();
    const overlapping = monitor.standstills.filter(
      (span) => span.startMs <= startMs && span.endMs >= endMs,
    );
    expect(overlapping).to.have.lengthOf(1);
  });
});
