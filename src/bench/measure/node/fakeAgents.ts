import { InstanceRole, InstanceState } from '../../../services/instances/common/instance.js';
import {
  linkVersion,
  MessageKind,
  type EndpointReport,
} from '../../../services/link/common/messages.js';
import { LinkServer } from '../../../services/link/node/linkServer.js';
import { AcceleratorKind } from '../../../services/model/common/model.js';
import type { Fleet } from '../../node/fleet.js';

const timing = { heartbeatMs: 500, deadlineMs: 1_500 };

function reportOf(index: number): EndpointReport {
  return {
    model: 'm',
    range: { from: (index % 3) * 4, to: (index % 3) * 4 + 4 },
    service: false,
    accelerator: AcceleratorKind.Medium,
    memoryMiB: 16_384,
    layerMicros: 500,
    stepMicros: 0,
    active: index % 7,
    capacity: 16,
    leaving: false,
    answering: true,
    ready: true,
    term: 1,
  };
}

/** Link servers in this process that send hellos and heartbeats as agents do. */
export class FakeAgents {
  private readonly servers: LinkServer[] = [];

  /**
   * Starts further agents until there are `count`, and adds them to the instance list.
   *
   * @param fleet - Fleet whose entries connect to the agents.
   * @param count - Total number of agents.
   */
  async start(fleet: Fleet, count: number): Promise<void> {
    for (let index = this.servers.length; index < count; index += 1) {
      const id = `fake-${index}`;
      const report = reportOf(index);
      const dataCentre = 'ragusa';
      const region = 'elsewhere'; // another region, so that the placement sends them no orders
      const hello = { kind: MessageKind.Hello, version: linkVersion, instance: id } as const;
      const identity = {
        incarnation: `${id}-1`,
        role: InstanceRole.Agent,
        place: dataCentre,
        region,
        revision: 1,
      };
      const server = new LinkServer(
        timing,
        () => ({ ...hello, ...identity, report }),
        () => ({ kind: MessageKind.Heartbeat, revision: 1, lowestRevision: 1, report }),
      );
      this.servers.push(server);
      const address = `127.0.0.1:${await server.listen('127.0.0.1', 0)}`;
      const { role } = identity;
      await fleet.postControl('instances', {
        id,
        role,
        address,
        place: dataCentre,
        region,
        state: InstanceState.Live,
      });
    }
  }

  /** Number of open links. */
  get links(): number {
    return this.servers.reduce((sum, server) => sum + server.links.size, 0);
  }

  /** Number of bytes sent and received on the links so far. */
  get bytes(): number {
    return this.servers.reduce((sum, server) => sum + server.transferredBytes, 0);
  }

  /** Stops the agents and closes their links. */
  close(): void {
    this.servers.forEach((server) => server.close());
  }
}
