import { expect } from 'chai';
import { MessageKind, type TokenMessage } from '../../../../services/link/common/messages.js';
import { AnswerAssembler } from '../../common/answerAssembler.js';

function tokenAt(step: number, end = false): TokenMessage {
  return { kind: MessageKind.Token, attempt: 'a', epoch: 1, step, token: step, text: 't', end };
}

describe('AnswerAssembler', () => {
  it('keeps no tokens past the largest number, which an agent might send without end', () => {
    const assembler = new AnswerAssembler(4);
    const early = Array.from({ length: 1_000 }, (_unused, index) =>
      assembler.accept(tokenAt(2 + index)),
    );
    expect(early.flat()).to.deep.equal([]);
    assembler.accept(tokenAt(0));
    expect(assembler.accept(tokenAt(1)).map(({ step }) => step)).to.deep.equal([1, 2, 3]);
    expect(assembler.accept(tokenAt(4))).to.deep.equal([]);
    expect(assembler.tokens).to.deep.equal([0, 1, 2, 3]);
    expect(assembler.isComplete).to.equal(false);
  });
});
