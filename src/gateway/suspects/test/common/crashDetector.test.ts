import { expect } from 'chai';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { EndpointState, type Endpoint } from '../../../directory/common/endpoint.js';
import { EndpointDirectory } from '../../../directory/common/endpointDirectory.js';
import {
  ProbeOutcome,
  type EndpointProbe,
  type IEndpointControl,
} from '../../../relay/common/endpointControl.js';
import { CrashDetector } from '../../common/crashDetector.js';

const nullLogger = { log: () => undefined };

function endpointOf(id: string, startedMs = 7): Endpoint {
  return {
    id,
    startedMs,
    service: 's',
    address: `10.0.0.1:${id.length}`,
    dataCentre: 'a',
    state: EndpointState.Ready,
    slots: 4,
    card: undefined,
    layers: undefined,
  };
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Creates a detector whose probes give the reaction set for the address. */
function create() {
  const clock = new FakeClock();
  const directory = new EndpointDirectory(clock, nullLogger);
  const reactions = new Map<string, EndpointProbe>();
  let probes = 0;
  const control = {
    probe: ({ address }: Endpoint) => {
      probes += 1;
      const silent = { outcome: ProbeOutcome.Silent, startedMs: undefined };
      return Promise.resolve(reactions.get(address) ?? silent);
    },
  } as unknown as IEndpointControl;
  const detector = new CrashDetector(directory, control, () => undefined, clock, nullLogger);
  const resolved: (string | undefined)[] = [];
  const lose = (endpoints: readonly Endpoint[], wasAlive = true, wasConnectionLost = true) =>
    detector.resolve(
      endpoints.map((endpoint) => ({ endpoint, wasAlive, wasConnectionLost })),
      (crash) => resolved.push(crash),
    );
  const pass = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 250) {
      clock.advance(250);
      await nextTurn();
    }
  };
  const answer = (endpoint: Endpoint, outcome: ProbeOutcome, startedMs?: number) =>
    reactions.set(endpoint.address, { outcome, startedMs });
  return { directory, detector, resolved, lose, pass, answer, probeCount: () => probes };
}

describe('CrashDetector', () => {
  it('finds a crash at once if the address refuses connections', async () => {
    const { directory, resolved, lose, answer } = create();
    const endpoint = endpointOf('e');
    directory.update(endpoint);
    answer(endpoint, ProbeOutcome.Refused);
    lose([endpoint]);
    await nextTurn();
    expect(resolved).to.deep.equal(['e@7']);
    expect(directory.findUsable('s')).to.deep.equal([]);
  });

  it('rules a crash out if the same incarnation answers', async () => {
    const { directory, resolved, lose, answer } = create();
    const endpoint = endpointOf('e');
    directory.update(endpoint);
    answer(endpoint, ProbeOutcome.Answered, 7);
    lose([endpoint]);
    await nextTurn();
    expect(resolved).to.deep.equal([undefined]);
  });

  it('finds the crash of a silent endpoint once another incarnation answers or is listed', async () => {
    const { directory, resolved, lose, answer, pass } = create();
    const [first, second] = [endpointOf('e'), endpointOf('ff')];
    [first, second].forEach((endpoint) => directory.update(endpoint));
    lose([first]);
    lose([second]);
    await pass(1_000);
    expect(resolved).to.deep.equal([]);
    answer(first, ProbeOutcome.Answered, 8);
    directory.update({ ...second, startedMs: 9 });
    await pass(2_000);
    expect(resolved).to.have.members(['e@7', 'ff@7']);
  });

  it('takes no answer of an unknown incarnation after a restart for that of the lost one', async () => {
    const { directory, resolved, lose, answer, pass } = create();
    const endpoint = endpointOf('e');
    directory.update(endpoint);
    lose([endpoint]);
    await nextTurn();
    answer(endpoint, ProbeOutcome.Answered);
    await pass(1_500);
    expect(resolved).to.deep.equal([]);
    directory.update({ ...endpoint, startedMs: 8 });
    await pass(2_000);
    expect(resolved).to.deep.equal(['e@7']);
  });

  it('rules a crash out if an endpoint that was silent answers and no other incarnation is listed', async () => {
    const { directory, resolved, lose, answer, pass } = create();
    const endpoint = endpointOf('e');
    directory.update(endpoint);
    lose([endpoint]);
    await nextTurn();
    answer(endpoint, ProbeOutcome.Answered);
    await pass(6_000);
    expect(resolved).to.deep.equal([undefined]);
  });

  it('finds the crash of a silent endpoint that the store no longer lists', async () => {
    const { directory, resolved, lose, pass } = create();
    const endpoint = endpointOf('e');
    directory.update(endpoint);
    lose([endpoint]);
    await pass(1_000);
    directory.remove('e');
    await pass(2_000);
    expect(resolved).to.deep.equal(['e@7']);
  });

  it('blames no run that may have been sent to a machine that was silent already', async () => {
    const { directory, resolved, lose, pass } = create();
    const endpoint = endpointOf('e');
    directory.update(endpoint);
    lose([endpoint], false);
    lose([endpoint], true);
    directory.update({ ...endpoint, startedMs: 8 });
    await pass(1_000);
    expect(resolved).to.have.members([undefined, 'e@7']);
  });

  it('does not probe a plain endpoint after a timeout, and still sees its next incarnation', async () => {
    const { directory, resolved, lose, pass, probeCount } = create();
    const endpoint = endpointOf('e');
    directory.update(endpoint);
    lose([endpoint], true, false);
    await pass(1_000);
    directory.update({ ...endpoint, startedMs: 8 });
    await pass(2_000);
    expect(resolved).to.deep.equal(['e@7']);
    expect(probeCount()).to.equal(0);
  });

  it('counts one crash for a run whose endpoints all crash', async () => {
    const { directory, resolved, lose, answer } = create();
    const path = [endpointOf('e'), endpointOf('ff'), endpointOf('ggg')];
    path.forEach((endpoint) => {
      directory.update(endpoint);
      answer(endpoint, ProbeOutcome.Refused);
    });
    lose(path);
    await nextTurn();
    expect(resolved).to.have.length(1);
  });

  it('leaves a run unexplained if its endpoint stays silent but listed, and stops probing', async () => {
    const { directory, resolved, lose, pass, probeCount } = create();
    const endpoint = endpointOf('e');
    directory.update(endpoint);
    lose([endpoint]);
    await pass(12_000);
    expect(resolved).to.deep.equal([undefined]);
    const probes = probeCount();
    await pass(5_000);
    expect(probeCount()).to.equal(probes);
  });

  it('disregards endpoints that are draining or already removed', async () => {
    const { directory, resolved, lose, answer } = create();
    const [draining, removed] = [endpointOf('e'), endpointOf('ff')];
    directory.update({ ...draining, state: EndpointState.Draining });
    [draining, removed].forEach((endpoint) => answer(endpoint, ProbeOutcome.Refused));
    lose([draining, removed]);
    await nextTurn();
    expect(resolved).to.deep.equal([undefined]);
  });
});
