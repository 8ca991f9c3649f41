import { expect } from 'chai';
import { Agreement } from '../../common/agreement.js';
import { parseRules } from '../../common/parseRules.js';

const ruleFile = [
  '# terms of the joint venture',
  'share organisation=coop weight=60 lend=no # asked by Cooperativa',
  'share organisation=coop model=casa-24 weight=10 priority=3 # asked by Cooperativa',
  '',
  'price accelerator=large micros=900 # asked by Qaumi Makan',
  'split organisation=coop percent=40 # asked by Cooperativa',
  'split organisation=index percent=60 # asked by Qaumi Makan',
].join('\n');

function parseFaults(text: string): readonly string[] {
  const parsed = parseRules(text);
  return parsed.isErr() ? parsed.error.map(({ line, reason }) => `${line}: ${reason}`) : [];
}

describe('parseRules', () => {
  it('parses shares, prices and splits with their line numbers and partners', () => {
    const rules = parseRules(ruleFile).unwrap();
    expect(rules.map((rule) => [rule.kind, rule.line, rule.askedBy])).to.deep.equal([
      ['share', 2, 'Cooperativa'],
      ['share', 3, 'Cooperativa'],
      ['price', 5, 'Qaumi Makan'],
      ['split', 6, 'Cooperativa'],
      ['split', 7, 'Qaumi Makan'],
    ]);
  });

  it('applies the most specific share rule', () => {
    const agreement = new Agreement(1, parseRules(ruleFile).unwrap());
    expect(agreement.termsOf('coop', 'casa-24', 'ragusa').weight).to.equal(10);
    expect(agreement.termsOf('coop', 'other', 'ragusa').lend).to.equal(false);
    expect(agreement.termsOf('stranger', 'other', 'ragusa').weight).to.equal(1);
    expect(agreement.percentOf('index')).to.equal(60);
  });

  it('reports every faulty line with its reason', () => {
    const faulty = [
      'share organisation=coop weight=60',
      'share organisation=Coop weight=0 # asked by Cooperativa',
      'shares organisation=coop # asked by Cooperativa',
      'price accelerator=huge micros=1 # asked by Qaumi Makan',
      'share organisation=coop weight=1 colour=red # asked by Qaumi Makan',
      'share organisation=coop weight # asked by Qaumi Makan',
    ].join('\n');
    const faults = parseFaults(faulty);
    expect(faults.map((fault) => fault.slice(0, 2))).to.deep.equal([
      '1:',
      '2:',
      '3:',
      '4:',
      '5:',
      '6:',
    ]);
    expect(faults[0]).to.contain('asked by PARTNER');
    expect(faults[1]).to.contain('organisation must be a lower-case name');
    expect(faults[4]).to.contain('colour is not a field');
  });

  it('rejects duplicate rules and splits that do not add up to 100 percent', () => {
    const twice =
      'share organisation=a weight=1 # asked by A\nshare organisation=a weight=2 # asked by B';
    expect(parseFaults(twice)[0]).to.contain('already set in line 1');
    expect(parseFaults('split organisation=a percent=90 # asked by A')[0]).to.contain('90 percent');
  });
});
