import { expect } from 'chai';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { EndpointState, type Endpoint } from '../../../directory/common/endpoint.js';
import { EndpointDirectory } from '../../../directory/common/endpointDirectory.js';
import { ProbeOutcome } from '../../../relay/common/endpointControl.js';
import { CrashDetector } from '../../../suspects/common/crashDetector.js';
import { PauseAwareProbes } from '../../common/pauseAwareProbes.js';

const endpoint: Endpoint = {
  id: 'e',
  startedMs: 7,
  service: 's',
  address: '10.0.0.1:80',
  dataCentre: 'a',
  state: EndpointState.Ready,
  slots: 4,
  card: undefined,
  layers: undefined,
};

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Loses a run at an endpoint that pauses for a time, and would refuse connections. */
function loseRunAtPausedEndpoint(pauseMs: number) {
  const clock = new FakeClock();
  const logger = { log: () => undefined };
  const directory = new EndpointDirectory(clock, logger);
  directory.update(endpoint);
  let probes = 0;
  const control = {
    probe: () => {
      probes += 1;
      return Promise.resolve({ outcome: ProbeOutcome.Refused, startedMs: undefined });
    },
  };
  const isPaused = () => clock.monotonicMs() < pauseMs;
  const crashes: (string | undefined)[] = [];
  const detector = new CrashDetector(
    directory,
    new PauseAwareProbes(control, isPaused),
    () => undefined,
    clock,
    logger,
  );
  detector.resolve([{ endpoint, wasAlive: true, wasConnectionLost: true }], (crash) =>
    crashes.push(crash),
  );
  const pass = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 250) {
      clock.advance(250);
      await nextTurn();
    }
  };
  return { directory, crashes, pass, probeCount: () => probes };
}

describe('PauseAwareProbes', () => {
  it('connect to an endpoint under which a run was lost only when its pause is over', async () => {
    const { crashes, pass, probeCount } = loseRunAtPausedEndpoint(3_000);
    await pass(2_750);
    expect(probeCount()).to.equal(0);
    expect(crashes).to.deep.equal([]);
    await pass(1_500);
    expect(crashes).to.deep.equal(['e@7']);
  });

  it('are no evidence of a crash if the endpoint leaves the store in its pause', async () => {
    const { directory, crashes, pass, probeCount } = loseRunAtPausedEndpoint(30_000);
    await pass(1_000);
    directory.remove(endpoint.id);
    await pass(12_000);
    expect(probeCount()).to.equal(0);
    expect(crashes).to.deep.equal([undefined]);
  });

  it('leave it to the store to tell of a restart in the pause', async () => {
    const { directory, crashes, pass } = loseRunAtPausedEndpoint(30_000);
    directory.update({ ...endpoint, startedMs: 8 });
    await pass(2_000);
    expect(crashes).to.deep.equal(['e@7']);
  });
});
