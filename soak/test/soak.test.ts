import { expect } from 'chai';
import { runSoak } from '../node/soakRun.js';

describe('Soak test', () => {
  it('finds no violated guarantee in gateway processes under seeded faults', async () => {
    const report = await runSoak({ seed: 11, seconds: 8, gateways: 2, callers: 2 });
    const violated = Object.entries(report.violations).filter(([, { length }]) => length > 0);
    expect(violated, report.directory).to.deep.equal([]);
    expect(report.whole).to.be.greaterThan(100);
  });
});
