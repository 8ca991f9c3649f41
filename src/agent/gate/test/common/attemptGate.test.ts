import { expect } from 'chai';
import fc from 'fast-check';
import { SealOutcome } from '../../../../services/link/common/messages.js';
import { AdmitOutcome, AttemptGate } from '../../common/attemptGate.js';

const retention = { answerRetentionMs: 1_000, outcomeRetentionMs: 1_000_000 };

describe('AttemptGate', () => {
  it('admits an attempt at most once, and never after it was sealed', () => {
    const operation = fc.record({
      kind: fc.constantFrom('admit', 'seal', 'finish', 'expire'),
      attempt: fc.constantFrom('a', 'b', 'c'),
      elapsedMs: fc.nat(5_000),
    });
    fc.assert(
      fc.property(fc.array(operation, { maxLength: 60 }), (operations) => {
        const gate = new AttemptGate(retention);
        const admitted = new Set<string>();
        const sealed = new Set<string>();
        let nowMs = 0;
        for (const { kind, attempt, elapsedMs } of operations) {
          nowMs += elapsedMs;
          if (kind === 'admit' && gate.admit(attempt, nowMs) === AdmitOutcome.Admitted) {
            expect(admitted.has(attempt), 'admitted twice').to.equal(false);
            expect(sealed.has(attempt), 'admitted after a seal').to.equal(false);
            admitted.add(attempt);
          } else if (kind === 'seal') {
            const isSealed = gate.seal(attempt, nowMs) === SealOutcome.Sealed;
            expect(isSealed).to.equal(!admitted.has(attempt));
            if (isSealed) {
              sealed.add(attempt);
            }
          } else if (kind === 'finish') {
            gate.finish(attempt, nowMs);
          } else {
            gate.expire(nowMs);
          }
        }
      }),
      { seed: 11, numRuns: 500 },
    );
  });

  it('keeps the outcome of an attempt after its answer was dropped', () => {
    const gate = new AttemptGate(retention);
    gate.admit('a', 0);
    gate.finish('a', 0);
    expect(gate.seal('a', 500)).to.equal(SealOutcome.Ran);
    expect(gate.expire(2_000)).to.deep.equal(['a']);
    expect(gate.seal('a', 2_000)).to.equal(SealOutcome.RanForgotten);
    expect(gate.admit('a', 2_000)).to.equal(AdmitOutcome.Repeated);
  });
});
