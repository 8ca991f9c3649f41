import type { Event } from '../../../base/common/event.js';
import type { LinkMessage } from '../../../services/link/common/messages.js';
import type { EndpointView } from './endpointView.js';

/** A message from an agent. */
export interface FleetMessage {
  readonly endpoint: string;
  readonly incarnation: string;
  readonly message: LinkMessage;
}

/** A run of an agent, as lost or restored. */
export interface FleetChange {
  readonly endpoint: string;
  readonly incarnation: string;
}

/** A run of an agent that is gone. */
export interface FleetLoss extends FleetChange {
  /** True if its link was closed, as when its process died; false if it fell silent. */
  readonly died: boolean;
}

/** The endpoints that an entry can reach. */
export interface IFleet {
  /** Returns the endpoints as known now. */
  endpoints(): readonly EndpointView[];
  /** Sends to an agent; false if there is no open link to that incarnation. */
  send(incarnation: string, message: LinkMessage): boolean;
  /** Counts an attempt of this entry in or out at an endpoint. */
  addActive(endpoint: string, change: 1 | -1): void;
  /** Records that an endpoint refused work, so that it gets none until its next report. */
  markFull(endpoint: string): void;
  /** Fires for each message of an agent but hellos and heartbeats. */
  readonly onDidReceive: Event<FleetMessage>;
  /** Fires when an incarnation is known to be gone or was silent past the deadline. */
  readonly onDidLose: Event<FleetLoss>;
  /** Fires when a link to a known incarnation was replaced. */
  readonly onDidRestore: Event<FleetChange>;
  /** Fires when an endpoint joined, changed or left. */
  readonly onDidChange: Event<void>;
}
