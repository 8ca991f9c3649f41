import { expect } from 'chai';
import fc from 'fast-check';
import { BlockPool, BodyBuffer } from '../../../../services/intake/common/bodyBuffer.js';
import { EventSplitter } from '../../common/eventSplitter.js';

const pool = new BlockPool(1_000_000);

describe('EventSplitter', () => {
  it('returns the same bytes in complete events, regardless of how the input is split', () => {
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
          const splitter = new EventSplitter(new BodyBuffer(pool));
          let passed = '';
          let count = 0;
          for (let offset = 0, pushIndex = 0; offset < bytes.length; pushIndex += 1) {
            const size = sizes[pushIndex % sizes.length];
            const batch = splitter.push(bytes.subarray(offset, offset + size));
            passed += batch?.bytes.toString() ?? '';
            count += batch?.count ?? 0;
            offset += size;
          }
          expect(passed).to.equal(bytes.toString());
          expect(count).to.equal(events.length);
          expect(splitter.partialBytes).to.equal(0);
        },
      ),
      { seed: 3, numRuns: 300 },
    );
  });

  it('holds back an incomplete event and returns the last id', () => {
    const rest = new BodyBuffer(pool);
    const splitter = new EventSplitter(rest);
    const batch = splitter.push(Buffer.from('id: 7\ndata: id: 9\n\nid: 8\nda'));
    expect(batch?.lastId).to.equal('7');
    expect(batch?.bytes.toString()).to.equal('id: 7\ndata: id: 9\n\n');
    expect(rest.take().toString()).to.equal('id: 8\nda');
  });
});
