import { expect } from 'chai';
import { weighEvidence } from '../../common/convictions.js';
import { partSubject } from '../../common/subject.js';

const deadly = partSubject('d');
const first = partSubject('f');

function convicted(evidence: Readonly<Record<string, readonly string[]>>): readonly string[] {
  const subjects = Object.entries(evidence).map(([subject, crashes]) => ({
    subject,
    crashes,
    survivals: 0,
    canBeConvicted: true,
  }));
  return [...weighEvidence(subjects, 3).convicted].sort();
}

describe('evidence against several subjects', () => {
  it('convicts the subject with the most crashes and explains the crashes of what was present', () => {
    const evidence = {
      [deadly]: ['1', '2', '3', '4'],
      [first]: ['1', '2', '3'],
      request: ['1', '2', '4'],
    };
    expect(convicted(evidence)).to.deep.equal([deadly]);
  });

  it('convicts a second part for the crashes that the first one does not explain', () => {
    const other = partSubject('e');
    const evidence = {
      [deadly]: ['1', '2', '3', '4'],
      [other]: ['4', '5', '6', '7'],
      [first]: ['1', '2', '5', '6'],
    };
    expect(convicted(evidence)).to.deep.equal([deadly, other]);
  });

  it('prefers a part to a request that was present at the same crashes', () => {
    const crashes = ['1', '2', '3'];
    expect(convicted({ request: crashes, [first]: crashes })).to.deep.equal([first]);
  });

  it('releases what was convicted wrongly at the first crash without it', () => {
    const [together, apart] = [['1', '2', '3'], ['4']];
    const wrong = convicted({ [deadly]: together, [first]: together });
    expect(wrong).to.have.length(1);
    const innocent = wrong[0];
    const guilty = innocent === deadly ? first : deadly;
    const evidence = { [innocent]: together, [guilty]: [...together, ...apart] };
    expect(convicted(evidence)).to.deep.equal([guilty]);
  });

  it('prefers a part that no endpoint survived to one that some did, at equally many crashes', () => {
    const evidence = [first, deadly].map((subject) => ({
      subject,
      crashes: ['1', '2', '3'],
      survivals: subject === first ? 0 : 2,
      canBeConvicted: true,
    }));
    const reversed = evidence.map((each) => ({ ...each, survivals: 2 - each.survivals }));
    expect([...weighEvidence(evidence, 3).convicted]).to.deep.equal([first]);
    expect([...weighEvidence(reversed, 3).convicted]).to.deep.equal([deadly]);
  });

  it('lets no whole request explain the crashes of another one', () => {
    const crashes = ['1', '2', '3'];
    expect(convicted({ one: crashes, two: crashes })).to.deep.equal(['one', 'two']);
  });
});
