import { expect } from 'chai';
import fc from 'fast-check';
import { FrameHeadReader } from '../../common/frameHeadReader.js';
import { frameHead, Opcode } from './rawPeers.js';

describe('FrameHeadReader', () => {
  it('counts frames however they are divided, and knows the size of the last one', () => {
    const lengths = fc.array(fc.oneof(fc.nat(130), fc.nat(70_000)), { maxLength: 4 });
    fc.assert(
      fc.property(
        lengths,
        fc.boolean(),
        fc.integer({ min: 1, max: 9_000 }),
        (sizes, isMasked, step) => {
          const reader = new FrameHeadReader();
          const frames = sizes.map((size) =>
            Buffer.concat([frameHead(Opcode.Binary, true, size, isMasked), Buffer.alloc(size)]),
          );
          const unfinished = frameHead(Opcode.Binary, true, 100_000, isMasked);
          const bytes = Buffer.concat([...frames, unfinished, Buffer.alloc(10)]);
          for (let start = 0; start < bytes.length; start += step) {
            reader.read(bytes.subarray(start, start + step));
          }
          expect(reader.frameCount).to.equal(sizes.length);
          expect(reader.receivedBytes).to.equal(unfinished.length + 10);
          expect(reader.frameBytes).to.equal(unfinished.length + 100_000);
        },
      ),
    );
  });
});
