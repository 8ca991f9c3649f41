import { expect } from 'chai';
import type { GuardedRequest } from '../../../../services/suspects/common/suspectGuard.js';
import type { Endpoint } from '../../../directory/common/endpoint.js';
import type { CallerRequest } from '../../../relay/common/callerRequest.js';
import { SupervisedRequest, type IRunSupervision } from '../../common/supervisedRequest.js';

const endpoint = { id: 'e', address: '10.0.0.1:80' } as Endpoint;

const callerRequest = {
  method: 'POST',
  target: '/x',
  route: { host: 'h' },
  metadata: { requestId: 'r', sharedParts: [] },
} as unknown as CallerRequest;

/** Creates an admitted request that is kept apart from others, and the events of its supervision. */
function createIsolated() {
  const events: string[] = [];
  let nowMs = 0;
  const supervision: IRunSupervision = {
    hasSuspects: true,
    nowMs: () => nowMs,
    admit: (request: GuardedRequest) => request.onAdmitted(true),
    withdraw: () => undefined,
    logDecision: () => undefined,
    isSuspected: () => false,
    quarantineRemainingMs: () => 0,
    startIsolatedRun: () => events.push('start'),
    endIsolatedRun: () => events.push('end'),
    addressesOfOtherSuspects: () => new Set(),
    resolveLostRun: (_request, _run, onResolved) => {
      events.push('lost');
      onResolved();
    },
    recordSurvival: () => events.push('survived'),
    recordPartSurvivals: () => undefined,
  };
  const observer = { onAdmitted: () => undefined, onQuarantined: () => undefined };
  const request = new SupervisedRequest(callerRequest, observer, supervision);
  request.requestRun();
  request.begin([endpoint]);
  const advance = (ms: number) => {
    nowMs += ms;
  };
  return { events, request, advance };
}

describe('SupervisedRequest', () => {
  it('keeps a suspect apart until its start is over, and does not clear it by progress', () => {
    const { events, request, advance } = createIsolated();
    request.recordProgress();
    expect(events).to.deep.equal(['start']);
    advance(501);
    request.recordProgress();
    expect(events).to.deep.equal(['start', 'end']);
    request.recordLoss([endpoint], true);
    expect(events).to.deep.equal(['start', 'end']);
  });

  it('examines a loss soon after the first events, and none after an answer of the endpoint', () => {
    const early = createIsolated();
    early.request.recordProgress();
    early.advance(100);
    early.request.recordLoss([endpoint], true);
    expect(early.events).to.deep.equal(['start', 'lost']);
    const answered = createIsolated();
    answered.request.recordAnswer();
    answered.request.recordLoss([endpoint], true);
    expect(answered.events).to.deep.equal(['start']);
  });

  it('examines a loss soon after the first events of a run that waited long for them', () => {
    const { events, request, advance } = createIsolated();
    advance(900);
    request.recordProgress();
    advance(100);
    request.recordProgress();
    request.recordLoss([endpoint], true);
    expect(events).to.deep.equal(['start', 'lost']);
  });
});
