import { expect } from 'chai';
import { FaultKind } from '../common/records.js';
import { runSoak, type SoakOptions } from '../node/soakRun.js';

/** Faults of planned work, and new kinds of answers beside it that must cut nothing. */
const answerKinds = [
  FaultKind.EndpointFallsSilent,
  FaultKind.EndpointOmitsFraming,
  FaultKind.EndpointCutsUnframed,
  FaultKind.EndpointResetsUnframed,
  FaultKind.StopGateway,
  FaultKind.ReloadGateway,
  FaultKind.GrowConfig,
  FaultKind.RevokeKey,
];

async function expectNoViolation(options: SoakOptions): Promise<void> {
  const report = await runSoak(options);
  const violated = Object.entries(report.violations).filter(([, { length }]) => length > 0);
  expect(violated, report.directory).to.deep.equal([]);
  expect(report.whole).to.be.greaterThan(100);
}

describe('Soak test', () => {
  it('finds no violated guarantee in gateway processes under seeded faults', () =>
    expectNoViolation({ seed: 11, seconds: 8, gateways: 2, callers: 2 }));

  it('finds no violated guarantee beside answers without framing and silent seconds', () =>
    expectNoViolation({ seed: 151, seconds: 6, gateways: 2, callers: 2, kinds: answerKinds }));
});
