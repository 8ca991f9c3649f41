import { expect } from 'chai';
import { CrashSuspects, strictPolicy } from '../../../../services/suspects/common/crashSuspects.js';
import { partSubject } from '../../../../services/suspects/common/subject.js';
import { SuspicionGossip } from '../../common/suspicionGossip.js';

describe('SuspicionGossip', () => {
  it('sends changed records, and each isolated or quarantined request in turn', () => {
    const suspects = new CrashSuspects('gw', { ...strictPolicy, isolationCrashes: 2 });
    for (let index = 0; index < 10; index += 1) {
      suspects.recordCrash('e@1', [`once-${index}`, `twice-${index}`], 0);
      suspects.recordCrash('e@2', [`twice-${index}`], 0);
    }
    const gossip = new SuspicionGossip(suspects);
    gossip.prioritise(suspects.recordsOf('once-7'));
    const counts = new Map<string, number>();
    for (let message = 0; message < 20; message += 1) {
      const records = gossip.next();
      expect(records).to.have.length(message < 5 ? 2 : 1);
      records.forEach(({ fingerprint }) =>
        counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1),
      );
    }
    expect(counts.get('once-7')).to.equal(5);
    expect(counts.has('once-1')).to.equal(false);
    for (let index = 0; index < 10; index += 1) {
      expect(counts.get(`twice-${index}`)).to.equal(2);
    }
  });

  it('sends each of many changed records once before it repeats any', () => {
    const suspects = new CrashSuspects('gw', { ...strictPolicy, isolationCrashes: 2 });
    const gossip = new SuspicionGossip(suspects);
    const fingerprints = Array.from({ length: 40 }, (_unused, index) => `neighbour-${index}`);
    for (const fingerprint of [...fingerprints, 'culprit']) {
      suspects.recordCrash('e@1', [fingerprint], 0);
      gossip.prioritise(suspects.recordsOf(fingerprint));
    }
    const sent: string[] = [];
    while (!sent.includes('culprit')) {
      sent.push(...gossip.next().map(({ fingerprint }) => fingerprint));
    }
    const firstSent = sent.slice(0, sent.indexOf('culprit') + 1);
    expect(firstSent).to.have.length(new Set(firstSent).size);
  });

  it('sends a part before the neighbours that have changed', () => {
    const suspects = new CrashSuspects('gw');
    const gossip = new SuspicionGossip(suspects);
    const neighbours = Array.from({ length: 40 }, (_unused, index) => `neighbour-${index}`);
    const part = partSubject('p');
    suspects.recordCrash('e@1', [...neighbours, part], 0);
    gossip.prioritise([...neighbours, part].flatMap((subject) => suspects.recordsOf(subject)));
    expect(gossip.next().map(({ fingerprint }) => fingerprint)).to.include(part);
  });

  it('sends nothing while nothing is suspected', () => {
    expect(new SuspicionGossip(new CrashSuspects('gw')).next()).to.deep.equal([]);
  });
});
