/** Kinds of accelerators that the partners share. */
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

/** Description of a model, as stored in the `models` objects of the platform. */
export interface ModelSpec {
  readonly name: string;
  /** Number of layers. */
  readonly layers: number;
  /** Memory that one layer needs, in MiB. */
  readonly layerMiB: number;
  /** Maximum number of tokens in prompt and answer together. */
  readonly contextTokens: number;
  /** Version of the weights. */
  readonly version: string;
}

/** Pipeline stage of a chain: the layer range that one endpoint runs. */
export interface StageSpec {
  readonly endpoint: string;
  /** Identifier of one run of the agent process; it changes when the agent restarts. */
  readonly incarnation: string;
  /** Host and port of the agent, as `host:port`. */
  readonly address: string;
  readonly range: LayerRange;
}

/** Pipeline stages that together hold every layer of a model, in layer order. */
export type ChainSpec = readonly StageSpec[];

/**
 * Checks whether a chain runs every layer exactly once, in order.
 *
 * @param chain - Stages in the order in which they run.
 * @param layers - Number of layers of the model.
 * @returns True if the ranges are non-empty, adjacent and span [0, layers).
 */
export function coversEveryLayerOnce(chain: ChainSpec, layers: number): boolean {
  let nextLayer = 0;
  for (const stage of chain) {
    if (stage.range.from !== nextLayer || stage.range.to <= nextLayer) {
      return false;
    }
    nextLayer = stage.range.to;
  }
  return nextLayer === layers;
}

/**
 * Formats a layer range.
 *
 * @param range - Range to format.
 * @returns Text such as `0-8`; as in the range, the end is not included.
 */
export function formatRange(range: LayerRange): string {
  return `${range.from}-${range.to}`;
}
