import type { Event } from '../../../base/common/event.js';
import type { LinkMessage } from '../../../services/link/common/messages.js';
import type { EndpointView } from './endpointView.js';

/** A message from an agent. */
export interface FleetMessage {
  readonly endpoint: string;
  readonly incarnation: string;
  readonly message: LinkMessage;
}

/** Incarnation of an agent, with the id of its endpoint. */
export interface AgentIncarnation {
  readonly endpoint: string;
  readonly incarnation: string;
}

/** Incarnation of an agent that was lost. */
export interface FleetLoss extends AgentIncarnation {
  /** True if the link was closed, as when the process died; false if it became silent. */
  readonly died: boolean;
}

/** The endpoints that an entry can reach. */
export interface IFleet {
  /** Returns the current view of all endpoints. */
  endpoints(): readonly EndpointView[];
  /** Sends a message to an agent; returns false if no link to that incarnation is open. */
  send(incarnation: string, message: LinkMessage): boolean;
  /** Adjusts the number of attempts of this entry at an endpoint. */
  addActive(endpoint: string, change: 1 | -1): void;
  /** Records that an endpoint refused work, so that it is given none until its next report. */
  markFull(endpoint: string): void;
  /** Fires for each message from an agent except hellos, heartbeats and leaving notices. */
  readonly onDidReceive: Event<FleetMessage>;
  /** Fires when an incarnation has ended or was silent for longer than the deadline. */
  readonly onDidLose: Event<FleetLoss>;
  /** Fires when the link to a known incarnation was replaced by a new one. */
  readonly onDidRestore: Event<AgentIncarnation>;
  /** Fires when an endpoint joins, changes or leaves. */
  readonly onDidChange: Event<void>;
}
