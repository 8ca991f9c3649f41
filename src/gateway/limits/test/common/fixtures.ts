import { SeededRandom } from '../../../../base/common/random.js';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { EndpointState, type Endpoint } from '../../../directory/common/endpoint.js';
import { EndpointLimits, type EndpointLimitsDependencies } from '../../common/endpointLimits.js';

/** An endpoint of the service `s`. */
export const endpoint: Endpoint = {
  id: 'e',
  startedMs: 1,
  service: 's',
  address: '10.0.0.1:80',
  dataCentre: 'a',
  state: EndpointState.Ready,
  slots: 4,
  card: undefined,
  layers: undefined,
};

/** Creates limits that know one endpoint and no peers, overridden by `changes`. */
export function createLimits(changes: Partial<EndpointLimitsDependencies> = {}): EndpointLimits {
  return new EndpointLimits({
    findIncarnation: (incarnation) => (incarnation === 'e@1' ? endpoint : undefined),
    peerCount: () => 0,
    random: new SeededRandom(1),
    clock: new FakeClock(),
    logger: { log: () => undefined },
    ...changes,
  });
}
