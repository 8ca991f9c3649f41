/** Whether an endpoint accepts new requests. */
export enum EndpointState {
  Ready = 'ready',
  Draining = 'draining',
}

/** Range of consecutive layers; `to` is exclusive. */
export interface LayerRange {
  readonly from: number;
  readonly to: number;
}

/** Back end that serves requests, with the properties that it reports about itself. */
export interface Endpoint {
  /** Identifier of this incarnation; most restarts get a new one. */
  readonly id: string;
  /** Unix time of its start, in milliseconds; distinguishes restarts with the same id. */
  readonly startedMs: number;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
  readonly state: EndpointState;
  /** Number of requests that it processes concurrently. */
  readonly slots: number;
  /** Kind of its accelerator card; undefined for plain services. */
  readonly card: string | undefined;
  /** Layers that it holds; undefined while it holds none. */
  readonly layers: LayerRange | undefined;
}

/**
 * Returns the key of an endpoint's incarnation.
 *
 * @param endpoint - Endpoint to identify.
 * @returns A key that changes with each restart.
 */
export function incarnationOf(endpoint: Pick<Endpoint, 'id' | 'startedMs'>): string {
  return `${endpoint.id}@${endpoint.startedMs}`;
}
