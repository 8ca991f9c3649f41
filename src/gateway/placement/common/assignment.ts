import type { LayerRange } from '../../directory/common/endpoint.js';

/** State of an endpoint that placement depends on. */
export interface PlacedEndpoint {
  readonly address: string;
  readonly dataCentre: string;
  readonly memoryMb: number;
  /** Factor on the time of a decode step; cards with the highest factor may become spares. */
  readonly stepFactor: number;
  /** Layers that it holds or was ordered to load. */
  readonly layers: LayerRange | undefined;
  /** Whether it has no pending order and answers. */
  readonly isSettled: boolean;
  /** Whether it doesn't answer at present, although the store still lists it. */
  readonly isSilent: boolean;
  /** Requests whose path includes it. */
  readonly requests: number;
  /** Time since it was first seen without layers, in milliseconds; 0 if it holds layers. */
  readonly emptyMs: number;
}

/** Layers that an endpoint should load. */
export interface Assignment {
  readonly address: string;
  readonly layers: LayerRange;
}
