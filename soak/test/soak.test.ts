import { expect } from 'chai';
import { runSoak } from '../node/soakRun.js';

describe('The soak', () => {
  it('finds the promises kept by real gateways under seeded faults', async () => {
    const report = await runSoak({ seed: 11, seconds: 8, gateways: 2, callers: 2 });
    const broken = Object.entries(report.violations).filter(([, { length }]) => length > 0);
    expect(broken, report.directory).to.deep.equal([]);
    expect(report.whole).to.be.greaterThan(100);
  });
});
