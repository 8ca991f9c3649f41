import { expect } from 'chai';
import fc from 'fast-check';
import { StepDecision, StepSequencer, type ArrivedStep } from '../../common/stepSequencer.js';

interface RanStep {
  readonly epoch: number;
  readonly step: number;
}

/** Passes a step to the sequencer and finishes at once each step that may run. */
function feed(
  sequencer: StepSequencer<string>,
  arrived: ArrivedStep<string>,
  ran: RanStep[],
): void {
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
  it('runs each step once per epoch and in order, whichever steps arrive', () => {
    const arrival = fc.record({
      epoch: fc.integer({ min: 1, max: 3 }),
      step: fc.integer({ min: 0, max: 6 }),
      input: fc.constant(''),
    });
    fc.assert(
      fc.property(fc.array(arrival, { maxLength: 80 }), (arrivals) => {
        const sequencer = new StepSequencer<string>();
        const ran: RanStep[] = [];
        arrivals.forEach((arrived) => feed(sequencer, arrived, ran));
        ran.slice(1).forEach((current, index) => {
          const previous = ran[index];
          expect(current.epoch).to.be.at.least(previous.epoch);
          expect(current.step).to.equal(current.epoch === previous.epoch ? previous.step + 1 : 0);
        });
      }),
      { seed: 12, numRuns: 1_000 },
    );
  });

  it('runs all steps of an epoch when they arrive out of order and more than once', () => {
    const steps = [0, 1, 2, 3, 4, 5];
    const orders = fc.shuffledSubarray([...steps, ...steps], { minLength: 12, maxLength: 12 });
    fc.assert(
      fc.property(orders, (order) => {
        const sequencer = new StepSequencer<string>();
        const ran: RanStep[] = [];
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

  it('asks to resend the latest output when its step arrives again', () => {
    const sequencer = new StepSequencer<string>();
    feed(sequencer, { epoch: 1, step: 0, input: '' }, []);
    feed(sequencer, { epoch: 1, step: 1, input: '' }, []);
    expect(sequencer.accept({ epoch: 1, step: 1, input: '' }, false)).to.equal(StepDecision.Resend);
    expect(sequencer.accept({ epoch: 1, step: 0, input: '' }, true)).to.equal(StepDecision.Drop);
  });
});
