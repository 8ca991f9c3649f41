import { expect } from 'chai';
import {
  zeroUsage,
  UsageCounters,
  UsageSide,
  type UsageRecord,
} from '../../../../services/usage/common/usage.js';
import { costReport } from '../../common/costReport.js';

function recordOf(
  side: UsageSide,
  incarnation: string,
  micros: number,
  revision: number,
): UsageRecord {
  const row = { organisation: 'coop', subject: 'casa-12', revision, ...zeroUsage, micros };
  return { side, instance: 'i', incarnation, sinceMs: 100, untilMs: 200, rows: [row] };
}

describe('costReport', () => {
  it('sums the usage of agents and of entries by revision and shows the difference', () => {
    const lines = costReport(
      [
        recordOf(UsageSide.Agent, 'a', 70, 1),
        recordOf(UsageSide.Agent, 'b', 30, 1),
        recordOf(UsageSide.Entry, 'c', 90, 1),
        recordOf(UsageSide.Agent, 'a', 5, 2),
      ],
      0,
      1_000,
    );
    expect(
      lines.map(({ revision, agents, entries, differenceMicros }) => [
        revision,
        agents.micros,
        entries.micros,
        differenceMicros,
      ]),
    ).to.deep.equal([
      [1, 100, 90, 10],
      [2, 5, 0, 5],
    ]);
  });

  it('leaves out records that lie wholly outside the period', () => {
    const records = [recordOf(UsageSide.Agent, 'a', 70, 1)];
    expect(costReport(records, 201, 300)).to.deep.equal([]);
    expect(costReport(records, 0, 99)).to.deep.equal([]);
    expect(costReport(records, 150, 160)).to.have.length(1);
  });
});

describe('UsageCounters', () => {
  it('sums the amounts of one key and separates revisions', () => {
    const counters = new UsageCounters();
    const key = { organisation: 'coop', subject: 'm', revision: 1 };
    counters.add(key, { tokens: 2 });
    counters.add(key, { tokens: 3, micros: 1 });
    counters.add({ ...key, revision: 2 }, { tokens: 4 });
    expect(counters.snapshot().map(({ revision, tokens }) => [revision, tokens])).to.deep.equal([
      [1, 5],
      [2, 4],
    ]);
  });
});
