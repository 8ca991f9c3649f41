import type { Endpoint } from '../../directory/common/endpoint.js';
import {
  ProbeOutcome,
  type EndpointProbe,
  type IEndpointProbes,
} from '../../relay/common/endpointControl.js';

/** Holds back the probes of endpoints that want nothing for a while. */
export class PauseAwareProbes implements IEndpointProbes {
  /**
   * @param probes - Probes the other endpoints.
   * @param isPaused - Whether an endpoint wants nothing of this gateway now.
   */
  constructor(
    private readonly probes: IEndpointProbes,
    private readonly isPaused: (endpoint: Endpoint) => boolean,
  ) {}

  probe(endpoint: Endpoint): Promise<EndpointProbe> {
    return this.isPaused(endpoint)
      ? Promise.resolve({ outcome: ProbeOutcome.HeldBack, startedMs: undefined })
      : this.probes.probe(endpoint);
  }
}
