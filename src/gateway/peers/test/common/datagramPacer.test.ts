import { expect } from 'chai';
import { DatagramPacer } from '../../common/datagramPacer.js';

/** Counts the datagrams that are handled of two that come in each millisecond. */
function handle(pacer: DatagramPacer, sender: string, durationMs: number, tookMs: number): number {
  let handled = 0;
  for (let nowMs = 0; nowMs < durationMs; nowMs += 0.5) {
    if (pacer.admits(sender, nowMs)) {
      pacer.record(sender, nowMs, tookMs);
      handled += 1;
    }
  }
  return handled;
}

describe('DatagramPacer', () => {
  it('handles all datagrams of a usual sender', () => {
    const pacer = new DatagramPacer(0);
    expect(handle(pacer, 'peer', 1_000, 0.05)).to.equal(2_000);
  });

  it('gives a sender without end a tenth of the time, beside which others are handled', () => {
    const pacer = new DatagramPacer(0);
    expect(handle(pacer, 'faulty', 1_000, 5)).to.be.within(20, 30);
    expect(pacer.admits('peer', 1_000)).to.equal(true);
  });

  it('bounds the time of all senders together, however many there are', () => {
    const pacer = new DatagramPacer(0);
    let handled = 0;
    for (let index = 0; index < 10_000; index += 1) {
      const nowMs = index / 10;
      if (pacer.admits(`sender-${index}`, nowMs)) {
        pacer.record(`sender-${index}`, nowMs, 1);
        handled += 1;
      }
    }
    expect(handled).to.be.at.most(700);
  });
});
