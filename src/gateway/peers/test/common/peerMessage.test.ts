import { expect } from 'chai';
import { pack, unpack } from 'msgpackr';
import { fromWire, toWire } from '../../common/peerMessage.js';

describe('PeerMessage encoding', () => {
  it('decodes to the message that was encoded', () => {
    const message = {
      sender: 'gw-1',
      configVersion: 4,
      loads: new Map([
        ['10.0.0.1:80', { tokenLayers: 10, requests: 2, firstStageRequests: 1, prefillMs: 3 }],
      ]),
      suspects: [{ address: '10.0.0.2:80', startedMs: 1_700_000_000_000 }],
      draining: [
        { address: '10.0.0.3:80', startedMs: 1_700_000_000_001 },
        { address: '10.0.0.5:80', startedMs: undefined },
      ],
      departed: ['e@3'],
      limits: [
        { incarnation: 'e@1', perSecond: 2.5, ageMs: 10, demandPerSecond: 0.5 },
        { incarnation: 'e@2', perSecond: undefined, ageMs: 20, demandPerSecond: 3 },
      ],
      placingTerm: 2,
      suspectRequests: [
        {
          fingerprint: 'f',
          crashes: ['e@1', 'e@2'],
          cleared: ['e@1'],
          requests: ['f'],
          runner: 'gw-2',
          atMs: 5,
        },
      ],
      isolated: ['10.0.0.3:80'],
      full: ['10.0.0.4:80'],
    };
    expect(fromWire(unpack(pack(toWire(message))))).to.deep.equal(message);
  });

  it('decodes a message of a version that does not tell when endpoints started', () => {
    const wire = ['gw-1', 4, [], ['10.0.0.2:80'], ['10.0.0.3:80'], 0];
    expect(fromWire(unpack(pack(wire)))).to.deep.include({
      suspects: [{ address: '10.0.0.2:80', startedMs: undefined }],
      draining: [{ address: '10.0.0.3:80', startedMs: undefined }],
    });
  });

  it('rejects data that is not a valid message', () => {
    expect(fromWire(undefined)).to.equal(undefined);
    expect(fromWire(['gw', 1, [['a', -1, 0, 0, 0]], []])).to.equal(undefined);
    expect(fromWire({ sender: 'gw' })).to.equal(undefined);
  });
});
