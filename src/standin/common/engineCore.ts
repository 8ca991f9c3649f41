import type { LayerRange } from '../../services/model/common/model.js';
import { chooseToken, emptyCache, runLayers, tokenize, type CacheState } from './fakeModel.js';

/** Request to run one step of a sequence over the engine's layers. */
export interface StepRequest {
  readonly sequence: string;
  readonly model: string;
  /** Layer range that the engine must have loaded. */
  readonly range: LayerRange;
  readonly step: number;
  /** Whether this is the first step of the sequence. */
  readonly first: boolean;
  /** Prompt text; present only on the first step at the first stage. */
  readonly prompt?: string;
  /** Tokens at the first stage, outputs of the previous stage at the others. */
  readonly data: readonly number[];
  /** Whether this is the last stage, which chooses the token. */
  readonly last: boolean;
  readonly priority: number;
}

/** Result of a step. */
export interface StepReply {
  readonly sequence: string;
  readonly step: number;
  readonly error?: string;
  /** Outputs for the next stage; empty at the last stage. */
  readonly data: readonly number[];
  readonly token?: number;
  readonly text?: string;
  readonly end?: boolean;
}

interface Sequence {
  readonly cache: CacheState;
  nextStep: number;
}

/** Prompt prefix that stays in the cache after its sequence has ended. */
interface CachedPrefix {
  readonly text: string;
}

/**
 * State of an engine stand-in: loaded layers, sequences and prefix cache. It does not simulate
 * processing times.
 */
export class EngineCore {
  private readonly sequences = new Map<string, Sequence>();

  private cachedPrefixes: CachedPrefix[] = [];

  private readonly events: string[] = [];

  range: LayerRange = { from: 0, to: 0 };

  model = '';

  highestTerm = 0;

  /**
   * @param checksTerm - Whether orders with an outdated fencing token are refused.
   * @param maxCachedPrefixes - Maximum number of prompt prefixes in the cache.
   */
  constructor(
    private readonly checksTerm: boolean,
    private readonly maxCachedPrefixes: number,
  ) {}

  /** Number of sequences that hold key-value cache. */
  get sequenceCount(): number {
    return this.sequences.size;
  }

  /**
   * Returns the prefix cache events from index `after` on, counted since the start of the engine.
   */
  cacheEvents(after: number): readonly string[] {
    return this.events.slice(after);
  }

  /**
   * Applies an order to load layers. A change of the model or of the layers drops all sequences and
   * cached prefixes.
   *
   * @returns False if the order was refused because its fencing token is outdated.
   */
  applyOrder(term: number, model: string, range: LayerRange): boolean {
    if (this.checksTerm && term < this.highestTerm) {
      return false;
    }
    this.highestTerm = Math.max(term, this.highestTerm);
    if (model !== this.model || range.from !== this.range.from || range.to !== this.range.to) {
      this.sequences.clear();
      this.cachedPrefixes = [];
    }
    this.model = model;
    this.range = range;
    return true;
  }

  /**
   * Returns the number of positions that a step must compute, excluding those in the prefix cache.
   */
  positionsToCompute(req: StepRequest): number {
    if (req.prompt === undefined) {
      return req.data.length;
    }
    const text = req.prompt;
    const sharedLengths = this.cachedPrefixes.map((prefix) =>
      commonPrefixLength(prefix.text, text),
    );
    return Math.max(1, text.length - Math.max(0, ...sharedLengths)) + req.data.length;
  }

  /** Runs a step; the reply has an `error` if the step or the layers are not the expected ones. */
  runStep(req: StepRequest): StepReply {
    const { sequence: id, step } = req;
    const layerCount = this.range.to - this.range.from;
    const existing = this.sequences.get(id);
    const isExpectedStep = existing === undefined ? req.first : existing.nextStep === step;
    const { from, to } = this.range;
    const isLoaded = req.model === this.model && req.range.from === from && req.range.to === to;
    if (!isLoaded || !isExpectedStep) {
      const error = isLoaded
        ? `step ${existing?.nextStep} expected`
        : `layers ${from}-${to} loaded`;
      return { sequence: id, step, error, data: [] };
    }
    const sequence = existing ?? { cache: emptyCache(layerCount), nextStep: step };
    this.sequences.set(id, sequence);
    sequence.nextStep = step + 1;
    const inputs = req.prompt === undefined ? req.data : [...tokenize(req.prompt), ...req.data];
    if (req.prompt !== undefined) {
      this.cachePrefix(req.prompt);
    }
    const outputs = inputs.map((input) => runLayers(sequence.cache, this.range.from, input));
    if (!req.last) {
      return { sequence: id, step, data: outputs };
    }
    return { sequence: id, step, data: [], ...chooseToken(outputs[outputs.length - 1]) };
  }

  /** Frees the key-value cache of a sequence. */
  dropSequence(sequence: string): void {
    this.sequences.delete(sequence);
  }

  private cachePrefix(text: string): void {
    this.cachedPrefixes = [
      { text },
      ...this.cachedPrefixes.filter((prefix) => prefix.text !== text),
    ];
    this.events.push(`stored ${text.slice(0, 64)}`);
    const evicted = this.cachedPrefixes.splice(this.maxCachedPrefixes);
    evicted.forEach((prefix) => this.events.push(`evicted ${prefix.text.slice(0, 64)}`));
  }
}

function commonPrefixLength(a: string, b: string): number {
  const limit = Math.min(a.length, b.length);
  let length = 0;
  while (length < limit && a[length] === b[length]) {
    length += 1;
  }
  return length;
}
