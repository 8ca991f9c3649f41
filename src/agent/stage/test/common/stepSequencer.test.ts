import { expect } from 'chai';
import fc from 'fast-check';
import { StepDecision, StepSequencer, type ArrivedStep } from '../../common/stepSequencer.js';

interface Ran {
  readonly epoch: number;
  readonly step: number;
}

/** Feeds steps and finishes each one that runs at once. */
function feed(sequencer: StepSequencer<string>, arrived: ArrivedStep<string>, ran: Ran[]): void {
  if (sequencer.accept(arrived, arrived.step === 0) !== StepDecision.Run) {
    return;
  }
  ran.push({ epoch: arrived.epoch, step: arrived.step });
  sequencer.finish(arrived.epoch, arrived.step);
  const held = sequencer.takeHeld();
  if (held) {
    feed(sequencer, held, ran);
  }
}

describe('StepSequencer', () => {
  it('runs each step once in an epoch and in order, whatever arrives', () => {
    const arrival = fc.record({
      epoch: fc.integer({ min: 1, max: 3 }),
      step: fc.integer({ min: 0, max: 6 }),
      input: fc.constant(''),
    });
    fc.assert(
      fc.property(fc.array(arrival, { maxLength: 80 }), (arrivals) => {
        const sequencer = new StepSequencer<string>();
        const ran: Ran[] = [];
        arrivals.forEach((arrived) => feed(sequencer, arrived, ran));
        ran.slice(1).forEach((now, index) => {
          const before = ran[index];
          expect(now.epoch).to.be.at.least(before.epoch);
          expect(now.step).to.equal(now.epoch === before.epoch ? before.step + 1 : 0);
        });
      }),
      { seed: 12, numRuns: 1_000 },
    );
  });

  it('runs all steps of an epoch when they arrive in any order and repeatedly', () => {
    const steps = [0, 1, 2, 3, 4, 5];
    const orders = fc.shuffledSubarray([...steps, ...steps], { minLength: 12, maxLength: 12 });
    fc.assert(
      fc.property(orders, (order) => {
        const sequencer = new StepSequencer<string>();
        const ran: Ran[] = [];
        order.forEach((step) => feed(sequencer, { epoch: 1, step, input: '' }, ran));
        expect(ran.map(({ step }) => step)).to.deep.equal(steps);
      }),
      { seed: 13, numRuns: 300 },
    );
  });

  it('drops the output of a step that was running when a newer epoch began', () => {
    const sequencer = new StepSequencer<string>();
    expect(sequencer.accept({ epoch: 1, step: 0, input: '' }, true)).to.equal(StepDecision.Run);
    expect(sequencer.accept({ epoch: 2, step: 0, input: '' }, true)).to.equal(StepDecision.Run);
    expect(sequencer.finish(1, 0)).to.equal(false);
    expect(sequencer.finish(2, 0)).to.equal(true);
  });

  it('asks to send the newest output again when its step is repeated', () => {
    const sequencer = new StepSequencer<string>();
    feed(sequencer, { epoch: 1, step: 0, input: '' }, []);
    feed(sequencer, { epoch: 1, step: 1, input: '' }, []);
    expect(sequencer.accept({ epoch: 1, step: 1, input: '' }, false)).to.equal(StepDecision.Resend);
    expect(sequencer.accept({ epoch: 1, step: 0, input: '' }, true)).to.equal(StepDecision.Drop);
  });
});
