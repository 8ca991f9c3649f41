/** Whether an endpoint takes new work. */
export enum EndpointState {
  Ready = 'ready',
  Draining = 'draining',
}

/** Contiguous layers; `to` is exclusive. */
export interface LayerRange {
  readonly from: number;
  readonly to: number;
}

/** What an endpoint says of itself. */
export interface Endpoint {
  /** Name of this start; most restarts bring another. */
  readonly id: string;
  /** Unix time of its start, in milliseconds; tells restarts under the same id apart. */
  readonly startedMs: number;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
  readonly state: EndpointState;
  /** Requests that it works on at once. */
  readonly slots: number;
  /** Kind of its accelerator card; undefined for plain services. */
  readonly card: string | undefined;
  /** Layers that it holds; undefined while it holds none. */
  readonly layers: LayerRange | undefined;
}

/**
 * Names one run of an endpoint.
 *
 * @param endpoint - The endpoint.
 * @returns A key that a restart doesn't share.
 */
export function incarnationOf(endpoint: Pick<Endpoint, 'id' | 'startedMs'>): string {
  return `${endpoint.id}@${endpoint.startedMs}`;
}
