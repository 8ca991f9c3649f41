import type { Result } from 'ts-results-es';
import type { Event } from '../../../base/common/event.js';
import { IbissparError } from '../../../base/common/errors.js';
import type { Endpoint, LayerRange } from '../../directory/common/endpoint.js';
import type { LayerPath } from '../../routing/common/pathFinder.js';

/** Request that waits for an endpoint at a later stage of its path. */
export interface StalledRequest {
  readonly requestId: string;
  /** Address of the endpoint at fault. */
  readonly address: string;
}

/** State that a model endpoint reports about itself; it may be a few hundred milliseconds old. */
export interface EndpointReport {
  readonly startedMs: number | undefined;
  readonly layers: LayerRange | undefined;
  /** Whether the endpoint is carrying out an order. */
  readonly isBusy: boolean;
  /** Number of orders that the endpoint has accepted since its start. */
  readonly orderCount: number;
  /** Key-value cache memory in use, in tokens times layers. */
  readonly usedTokenLayers: number;
  /** Total key-value cache memory, in tokens times layers. */
  readonly totalTokenLayers: number;
  /** Slowdown relative to the endpoint's accelerator card; above 1 if it is slower than the card. */
  readonly slowdownFactor: number;
  readonly stalled: readonly StalledRequest[];
}

/**
 * Error for a call that an endpoint didn't answer, or whose answer can't be used. If the call was an
 * order, the endpoint may have carried it out or may still do so.
 */
export class EndpointSilentError extends IbissparError {
  readonly code = 'endpoint-silent';
}

/** Why an endpoint didn't accept an order. */
export enum OrderRefusal {
  /** The endpoint's state or order count differs from the expected one. */
  Conflict = 'conflict',
  /** The endpoint has seen a higher fencing token. */
  Fenced = 'fenced',
  /** The endpoint doesn't know the request that the order names. */
  UnknownRequest = 'unknown-request',
  /** Another endpoint listens at the address. */
  Misdirected = 'misdirected',
  Invalid = 'invalid',
}

/** Error for an order that the endpoint refused. */
export class OrderRefusedError extends IbissparError {
  readonly code = 'order-refused';

  /**
   * @param refusal - Reason for the refusal.
   * @param faultAddress - Address of the endpoint at fault, if the answer names one.
   */
  constructor(
    readonly refusal: OrderRefusal,
    readonly faultAddress: string | undefined,
  ) {
    super(`order refused: ${refusal}`);
  }
}

/** Order to load a range of layers. */
export interface LoadLayersOrder {
  readonly endpointId: string;
  readonly layers: LayerRange;
  readonly fencingToken: number;
  /** Order count that the endpoint must have for the order to be valid. */
  readonly expectedOrderCount: number;
}

/** Errors that an order or a report request can return. */
export type ControlError = EndpointSilentError | OrderRefusedError;

/** Reaction of an address to a probe. */
export enum ProbeOutcome {
  /** A process answered, with whatever status. */
  Answered = 'answered',
  /** The machine refused the connection: no process listens at the address. */
  Refused = 'refused',
  /** Nothing answered in time, or the connection broke. */
  Silent = 'silent',
  /** No probe was sent, because the endpoint wants nothing for a while. */
  HeldBack = 'held-back',
}

/** Result of probing an address. */
export interface EndpointProbe {
  readonly outcome: ProbeOutcome;
  /** Start time of the process that answered, in Unix milliseconds, if it tells. */
  readonly startedMs: number | undefined;
}

/** An answer in which an endpoint says that it leaves. */
export interface LeavingNotice {
  readonly address: string;
  /** Start time of the process that answered, in Unix milliseconds; undefined if it doesn't tell. */
  readonly startedMs: number | undefined;
}

/** Probes endpoints. */
export interface IEndpointProbes {
  /**
   * Finds out whether a process listens at an endpoint's address. A plain service has no report, so that
   * its endpoints are only connected to.
   */
  probe(endpoint: Endpoint): Promise<EndpointProbe>;
}

/** Reads the reports of model endpoints and sends orders to them. */
export interface IEndpointControl extends IEndpointProbes {
  /** Fires for each answer to a report request or an order in which an endpoint says that it leaves. */
  readonly onDidHearLeaving: Event<LeavingNotice>;
  /** Requests the report of an endpoint. */
  report(address: string): Promise<Result<EndpointReport, EndpointSilentError>>;
  /** Orders an endpoint to load a range of layers; resolves when the order was accepted. */
  loadLayers(address: string, order: LoadLayersOrder): Promise<Result<void, ControlError>>;
  /** Orders a path's first endpoint to move a running request to another path that starts there too. */
  repath(address: string, requestId: string, path: LayerPath): Promise<Result<void, ControlError>>;
}
