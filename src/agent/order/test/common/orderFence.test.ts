import { expect } from 'chai';
import { MessageKind, type OrderMessage } from '../../../../services/link/common/messages.js';
import { OrderFence } from '../../common/orderFence.js';

function order(term: number): OrderMessage {
  return { kind: MessageKind.Order, term, model: 'm', version: '1', range: { from: 0, to: 1 } };
}

describe('OrderFence', () => {
  it('refuses orders of earlier terms', async () => {
    const gate = new OrderFence({ currentTerm: () => Promise.resolve(0) });
    expect(await gate.admit(order(3))).to.equal(true);
    expect(await gate.admit(order(2))).to.equal(false);
    expect(await gate.admit(order(3))).to.equal(true);
    expect(gate.highestTerm).to.equal(3);
  });

  it('refuses an old order after a restart, although it has seen no other', async () => {
    const restarted = new OrderFence({ currentTerm: () => Promise.resolve(5) });
    expect(await restarted.admit(order(4))).to.equal(false);
    expect(await restarted.admit(order(5))).to.equal(true);
  });

  it('obeys nothing while it cannot learn the current term', async () => {
    const gate = new OrderFence({ currentTerm: () => Promise.resolve(undefined) });
    expect(await gate.admit(order(9))).to.equal(false);
  });
});
