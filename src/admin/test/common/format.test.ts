import { expect } from 'chai';
import { diffLines, formatDiff } from '../../common/lineDiff.js';
import { formatCsv, formatTable } from '../../common/table.js';

describe('Output of the administration tool', () => {
  it('shows the lines that only one of two rule files contains', () => {
    expect(formatDiff(diffLines('a\nb\nc', 'a\nd\nc'))).to.equal('- b\n+ d');
  });

  it('aligns the columns of a table', () => {
    expect(
      formatTable(
        ['name', 'n'],
        [
          ['a', 1],
          ['long name', undefined],
        ],
      ),
    ).to.equal('name       n\na          1\nlong name  -');
  });

  it('quotes cells of comma-separated values where needed', () => {
    expect(formatCsv(['a', 'b'], [['x,y', 'say "no"']])).to.equal('a,b\n"x,y","say ""no"""');
  });
});
