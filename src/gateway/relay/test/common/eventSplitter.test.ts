import { expect } from 'chai';
import fc from 'fast-check';
import { EventSplitter } from '../../common/eventSplitter.js';

describe('EventSplitter', () => {
  it('passes the same bytes on, in whole events, however they are cut', () => {
    const anyEvent = fc
      .tuple(fc.integer({ min: 1, max: 999 }), fc.string(), fc.constantFrom('\n', '\r\n'))
      .map(([id, text, eol]) => {
        const data = text.replace(/[\r\n]/g, ' ');
        return `id: ${id}${eol}data: ${data}${eol}${eol}`;
      });
    fc.assert(
      fc.property(
        fc.array(anyEvent, { maxLength: 10 }),
        fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }),
        (events, sizes) => {
          const bytes = Buffer.from(events.join(''));
          const splitter = new EventSplitter();
          let passed = '';
          let count = 0;
          for (let at = 0, turn = 0; at < bytes.length; turn += 1) {
            const size = sizes[turn % sizes.length];
            const batch = splitter.push(bytes.subarray(at, at + size));
            passed += batch?.bytes.toString() ?? '';
            count += batch?.count ?? 0;
            at += size;
          }
          expect(passed).to.equal(bytes.toString());
          expect(count).to.equal(events.length);
          expect(splitter.partial).to.have.length(0);
        },
      ),
      { seed: 3, numRuns: 300 },
    );
  });

  it('keeps back an event that was not received whole and tells the last id', () => {
    const splitter = new EventSplitter();
    const batch = splitter.push(Buffer.from('id: 7\ndata: id: 9\n\nid: 8\nda'));
    expect(batch?.lastId).to.equal('7');
    expect(batch?.bytes.toString()).to.equal('id: 7\ndata: id: 9\n\n');
    expect(splitter.partial.toString()).to.equal('id: 8\nda');
  });
});
