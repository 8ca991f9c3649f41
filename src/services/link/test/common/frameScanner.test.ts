import { expect } from 'chai';
import fc from 'fast-check';
import { Packr } from 'msgpackr';
import { frameBounds, FrameScanner } from '../../common/frameScanner.js';

const messageArbitrary = fc.array(
  fc.record(
    {
      kind: fc.nat(20),
      attempt: fc.string({ unit: 'grapheme', maxLength: 400 }),
      step: fc.maxSafeInteger(),
      amount: fc.double(),
      data: fc.array(fc.integer()),
      body: fc.uint8Array({ maxLength: 400 }),
      relay: fc.constantFrom(true, false, undefined, null),
      spec: fc.record({ chain: fc.array(fc.record({ range: fc.tuple(fc.nat(), fc.nat()) })) }),
    },
    { requiredKeys: ['kind'] },
  ),
);

describe('FrameScanner', () => {
  it('accepts all frames of a sender, but neither a part of one nor one with more behind it', () => {
    fc.assert(
      fc.property(fc.array(messageArbitrary, { maxLength: 5 }), fc.nat(), (batches, cut) => {
        const encoder = new Packr({ sequential: true });
        const scanner = new FrameScanner(frameBounds);
        const frames = batches.map((batch) => Buffer.from(encoder.pack(batch)));
        frames.forEach((frame) => expect(scanner.check(frame)).to.equal(true));
        frames.forEach((frame) => {
          expect(scanner.check(frame.subarray(0, cut % frame.length))).to.equal(false);
          expect(scanner.check(Buffer.concat([frame, Buffer.from([0])]))).to.equal(false);
        });
      }),
    );
  });

  it('accepts all messages of a sender that uses no records, but no records', () => {
    fc.assert(
      fc.property(messageArbitrary, (message) => {
        const bytes = new Packr({ useRecords: false }).pack(message);
        expect(new FrameScanner(frameBounds, false).check(bytes)).to.equal(true);
      }),
    );
    const record = Buffer.from('d4724091a16101', 'hex');
    expect(new FrameScanner(frameBounds, true).check(record)).to.equal(true);
    expect(new FrameScanner(frameBounds, false).check(record)).to.equal(false);
  });

  [
    ['a record structure that was never defined', '9140'],
    ['a record structure whose keys are no strings', '91d47240919001'],
    ['a record structure with more keys than any message', `91d47240dc0041${'a161'.repeat(65)}`],
    ['an extension that stands for a regular expression', '91d47800'],
    ['an extension with data of its own', 'c70173a0'],
    ['a reserved type', '91c1'],
    ['an array that is deeper than any message', `${'91'.repeat(17)}01`],
    ['more empty maps than the bound', `dd00004000${'80'.repeat(16_384)}`],
    ['more numbers than the bound', `dd00040000${'01'.repeat(262_144)}`],
    [
      'more definitions of record structures than messages need',
      `dc0500${'d472409000'.repeat(1_280)}`,
    ],
  ].forEach(([name, hex]) => {
    it(`refuses ${name}`, () => {
      expect(new FrameScanner(frameBounds).check(Buffer.from(hex, 'hex'))).to.equal(false);
    });
  });
});
