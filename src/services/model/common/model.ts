/** Kinds of accelerators that the joint ventures pool. */
export enum AcceleratorKind {
  Large = 'large',
  Medium = 'medium',
  Small = 'small',
  Edge = 'edge',
  Legacy = 'legacy',
}

/** Half-open range of model layers: `from` is included, `to` is not. */
export interface LayerRange {
  readonly from: number;
  readonly to: number;
}

/** Model as described by the `models` objects of the platform. */
export interface ModelSpec {
  readonly name: string;
  /** Number of layers. */
  readonly layers: number;
  /** Memory that one layer needs, in MiB. */
  readonly layerMiB: number;
  /** Most tokens of prompt and answer together. */
  readonly contextTokens: number;
  /** Version of the weights. */
  readonly version: string;
}

/** One endpoint's part in a chain. */
export interface StageSpec {
  readonly endpoint: string;
  /** Identifies one run of the agent process; a restarted agent has another. */
  readonly incarnation: string;
  /** Host and port of the agent, as `host:port`. */
  readonly address: string;
  readonly range: LayerRange;
}

/** Endpoints that together hold every layer, in layer order. */
export type ChainSpec = readonly StageSpec[];

/**
 * Tells whether a chain runs every layer exactly once, in order.
 *
 * @param chain - Stages in the order in which they run.
 * @param layers - Number of layers of the model.
 * @returns True if the ranges are non-empty, adjacent and span [0, layers).
 */
export function coversOnce(chain: ChainSpec, layers: number): boolean {
  let next = 0;
  for (const stage of chain) {
    if (stage.range.from !== next || stage.range.to <= next) {
      return false;
    }
    next = stage.range.to;
  }
  return next === layers;
}

/**
 * Formats a layer range.
 *
 * @param range - The range.
 * @returns For example `0-8`.
 */
export function formatRange(range: LayerRange): string {
  return `${range.from}-${range.to}`;
}
