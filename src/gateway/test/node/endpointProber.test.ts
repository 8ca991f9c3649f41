import { Err } from 'ts-results-es';
import { expect } from 'chai';
import { FakeClock } from '../../../base/test/common/fakeClock.js';
import { EndpointState, type Endpoint } from '../../directory/common/endpoint.js';
import { EndpointDirectory, Suspicion } from '../../directory/common/endpointDirectory.js';
import { EndpointSilentError, type IEndpointControl } from '../../relay/common/endpointControl.js';
import { EndpointProber } from '../../node/endpointProber.js';

const endpoint: Endpoint = {
  id: 'e',
  startedMs: 1,
  service: 's',
  address: '10.0.0.1:80',
  dataCentre: 'a',
  state: EndpointState.Ready,
  slots: 4,
  card: 'huge',
  layers: undefined,
};

describe('EndpointProber', () => {
  it('asks a silent endpoint that pauses for no report until its pause is over', async () => {
    const clock = new FakeClock();
    const directory = new EndpointDirectory(clock, { log: () => undefined });
    directory.update(endpoint);
    directory.suspect(endpoint.address, Suspicion.Silent, 'no answer');
    let reports = 0;
    const control = {
      report: () => {
        reports += 1;
        return Promise.resolve(Err(new EndpointSilentError('no report')));
      },
    } as unknown as IEndpointControl;
    const pauseEndsMs = 1_500;
    const prober = new EndpointProber(
      directory,
      control,
      () => clock.monotonicMs() < pauseEndsMs,
      clock,
    );
    prober.start();
    clock.advance(700);
    clock.advance(700);
    expect(reports).to.equal(0);
    clock.advance(700);
    expect(reports).to.equal(1);
    prober.close();
  });
});
