import { expect } from 'chai';
import { MessageKind, type OrderMessage } from '../../../../services/link/common/messages.js';
import { OrderFence } from '../../common/orderFence.js';

function order(term: number): OrderMessage {
  return { kind: MessageKind.Order, term, model: 'm', version: '1', range: { from: 0, to: 1 } };
}

const source = (token: number | undefined) => ({
  lowestToken: 0,
  currentToken: () => Promise.resolve(token),
});

describe('OrderFence', () => {
  it('refuses orders of earlier terms', async () => {
    const fence = new OrderFence(source(0));
    expect(await fence.admit(order(3))).to.equal(true);
    expect(await fence.admit(order(2))).to.equal(false);
    expect(await fence.admit(order(3))).to.equal(true);
    expect(fence.highestToken).to.equal(3);
  });

  it('refuses an order of an earlier term as the first one after a restart', async () => {
    const restartedFence = new OrderFence(source(5));
    expect(await restartedFence.admit(order(4))).to.equal(false);
    expect(await restartedFence.admit(order(5))).to.equal(true);
  });

  it('refuses every order while the current term cannot be read', async () => {
    const fence = new OrderFence(source(undefined));
    expect(await fence.admit(order(9))).to.equal(false);
  });
});
