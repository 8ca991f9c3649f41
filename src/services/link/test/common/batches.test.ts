import { expect } from 'chai';
import { RunState } from '../../../problem/common/problem.js';
import { divideIntoBatches } from '../../common/batches.js';
import { sentBatchBytes, sentBatchMessages } from '../../common/linkBounds.js';
import { MessageKind, type LinkMessage } from '../../common/messages.js';

describe('divideIntoBatches', () => {
  it('keeps answers of one turn from forming a frame that the peer refuses', () => {
    const answer = { status: 200, headers: [], body: Buffer.alloc(sentBatchBytes * 0.6) };
    const messages = Array.from({ length: 4 }, (_unused, index): LinkMessage => ({
      kind: MessageKind.CallResult,
      attempt: `a${index}`,
      answer,
      run: RunState.Ran,
    }));
    expect(divideIntoBatches(messages)).to.deep.equal(messages.map((message) => [message]));
  });

  it('keeps many small messages in order, in batches of a bounded number', () => {
    const messages = Array.from(
      { length: 2 * sentBatchMessages + 1 },
      (_unused, revision): LinkMessage => ({ kind: MessageKind.Heartbeat, revision }),
    );
    const batches = divideIntoBatches(messages);
    expect(batches.map(({ length }) => length)).to.deep.equal([
      sentBatchMessages,
      sentBatchMessages,
      1,
    ]);
    expect(batches.flat()).to.deep.equal(messages);
  });
});
