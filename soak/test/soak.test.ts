import { expect } from 'chai';
import { FaultKind } from '../common/records.js';
import { runSoak, type SoakOptions, type SoakReport } from '../node/soakRun.js';

/** Planned work, and faults beside it that must cut nothing else. */
const kinds = [
  FaultKind.CrashingPart,
  FaultKind.EndpointFallsSilent,
  FaultKind.EndpointOmitsFraming,
  FaultKind.EndpointCutsUnframed,
  FaultKind.EndpointResetsUnframed,
  FaultKind.StopGateway,
  FaultKind.ReloadGateway,
  FaultKind.GrowConfig,
  FaultKind.RevokeKey,
];

/** Planned work alone, and endpoints that fall silent for up to 2.2 s meanwhile. */
const plannedWorkKinds = [
  FaultKind.StopGateway,
  FaultKind.MoveRoute,
  FaultKind.EndpointsFallSilentInSeries,
  FaultKind.EndpointsFallSilentInSeries,
  FaultKind.ReloadGateway,
  FaultKind.GrowConfig,
];

/** What other writers, the store's pages and endpoints' refusals may do, beside what shows a stale copy. */
const misleadingKinds = [
  FaultKind.OddEntries,
  FaultKind.OldPages,
  FaultKind.EndpointRepeatsRefusals,
  FaultKind.SilenceStoreLink,
  FaultKind.RemoveEndpointEntry,
  FaultKind.RevokeKey,
  FaultKind.StopGateway,
];

/** Callers that misbehave, beside planned work and faults that they might make worse. */
const crowdKinds = [
  FaultKind.CallerCrowd,
  FaultKind.CallerCrowd,
  FaultKind.StopGateway,
  FaultKind.EndpointFallsSilent,
  FaultKind.GrowConfig,
];

/** Endpoints that write bytes that are no answer, beside planned work and faults that they might make worse. */
const faultyAnswerKinds = [
  FaultKind.FaultyAnswers,
  FaultKind.FaultyAnswers,
  FaultKind.StopGateway,
  FaultKind.ReloadGateway,
  FaultKind.EndpointFallsSilent,
  FaultKind.MoveRoute,
];

async function expectNoViolation(options: SoakOptions): Promise<SoakReport> {
  const report = await runSoak(options);
  const violated = Object.entries(report.violations).filter(([, { length }]) => length > 0);
  expect(violated, report.directory).to.deep.equal([]);
  expect(report.whole).to.be.greaterThan(100);
  return report;
}

describe('Soak test', () => {
  it('finds no violated guarantee in gateway processes under seeded faults', () =>
    expectNoViolation({ seed: 11, seconds: 11, gateways: 2, callers: 2 }));

  it('finds no violated guarantee beside crashing parts, silent seconds and unframed answers', () =>
    expectNoViolation({ seed: 3775, seconds: 5, gateways: 2, callers: 2, kinds }));

  it('finds no violated guarantee beside odd entries, old pages and refusals written again', () =>
    expectNoViolation({
      seed: 51001,
      seconds: 6,
      gateways: 4,
      callers: 2,
      kinds: misleadingKinds,
    }));

  it('finds no whole request without an answer around planned work beside silent endpoints', () =>
    expectNoViolation({
      seed: 20413,
      seconds: 7,
      gateways: 2,
      callers: 5,
      kinds: plannedWorkKinds,
    }));

  it('finds no violated guarantee beside crowds of callers that misbehave', () =>
    expectNoViolation({ seed: 61204, seconds: 7, gateways: 2, callers: 4, kinds: crowdKinds }));

  it('finds no violated guarantee beside endpoints that write bytes that are no answer', async () => {
    const report = await expectNoViolation({
      seed: 53348,
      seconds: 4,
      gateways: 2,
      callers: 4,
      kinds: faultyAnswerKinds,
    });
    expect(report.faultyAnswers).to.be.greaterThan(0);
  });
});
