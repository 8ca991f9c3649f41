import type { Result } from 'ts-results-es';
import { IbissparError } from '../../../base/common/errors.js';
import type { LayerRange } from '../../directory/common/endpoint.js';
import type { LayerPath } from '../../routing/common/pathFinder.js';

/** A request that waits for an endpoint further down its path. */
export interface StalledRequest {
  readonly requestId: string;
  /** Endpoint at fault. */
  readonly address: string;
}

/** What a model endpoint reports of itself, some hundred milliseconds old. */
export interface EndpointReport {
  readonly startedMs: number | undefined;
  readonly layers: LayerRange | undefined;
  /** Whether an order is being carried out. */
  readonly isBusy: boolean;
  /** Orders that it has accepted since its start. */
  readonly orderCount: number;
  /** Cache memory in use and in all, in tokens times layers. */
  readonly usedTokenLayers: number;
  readonly totalTokenLayers: number;
  /** Over 1 if the endpoint is slower than its card. */
  readonly slowdownFactor: number;
  readonly stalled: readonly StalledRequest[];
}

/** The endpoint didn't answer; an order may have been or may yet be carried out. */
export class EndpointSilentError extends IbissparError {
  readonly code = 'endpoint-silent';
}

/** Why an endpoint didn't accept an order. */
export enum OrderRefusal {
  /** Its state or its order count is another one. */
  Conflict = 'conflict',
  /** It has seen a higher fencing token. */
  Fenced = 'fenced',
  /** It doesn't know the request that the order names. */
  UnknownRequest = 'unknown-request',
  /** Another endpoint has its address. */
  Misdirected = 'misdirected',
  Invalid = 'invalid',
}

/** The endpoint refused an order. */
export class OrderRefusedError extends IbissparError {
  readonly code = 'order-refused';

  /**
   * @param refusal - Why.
   * @param faultAddress - Endpoint at fault, where the answer names one.
   */
  constructor(
    readonly refusal: OrderRefusal,
    readonly faultAddress: string | undefined,
  ) {
    super(`order refused: ${refusal}`);
  }
}

/** Order to hold a range of layers. */
export interface LoadLayersOrder {
  readonly endpointId: string;
  readonly layers: LayerRange;
  readonly fencingToken: number;
  /** Order count at which the order is valid. */
  readonly expectedOrderCount: number;
}

/** What an order or a report may fail with. */
export type ControlError = EndpointSilentError | OrderRefusedError;

/** Reads and orders of model endpoints. */
export interface IEndpointControl {
  /** Reads the endpoint's report. */
  report(address: string): Promise<Result<EndpointReport, EndpointSilentError>>;
  /** Orders the endpoint to hold a range of layers; resolves when the order was accepted. */
  loadLayers(address: string, order: LoadLayersOrder): Promise<Result<void, ControlError>>;
  /** Moves a running request to another path with the same first endpoint. */
  repath(address: string, requestId: string, path: LayerPath): Promise<Result<void, ControlError>>;
}
