import type { LayerRange } from '../../services/model/common/model.js';
import { chooseToken, emptyCache, runLayers, tokenize, type CacheState } from './fakeModel.js';

/** Step that an engine is asked to run. */
export interface StepRequest {
  readonly sequence: string;
  readonly model: string;
  /** Layers that must be loaded. */
  readonly range: LayerRange;
  readonly step: number;
  /** True on the sequence's first step. */
  readonly first: boolean;
  /** Prompt text; only at the first stage's first step. */
  readonly prompt?: string;
  /** Tokens at the first stage, outputs of the stage before elsewhere. */
  readonly data: readonly number[];
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

/** Prefix that the engine keeps after its sequence ended. */
interface KeptPrefix {
  readonly text: string;
}

/** Loaded layers, sequences and prefix cache of an engine stand-in, without time. */
export class EngineCore {
  private readonly sequences = new Map<string, Sequence>();

  private prefixes: KeptPrefix[] = [];

  private readonly events: string[] = [];

  range: LayerRange = { from: 0, to: 0 };

  model = '';

  highestTerm = 0;

  /**
   * @param checksTerm - True if orders with an old term are refused.
   * @param maxPrefixes - Most prompt prefixes that are kept.
   */
  constructor(
    private readonly checksTerm: boolean,
    private readonly maxPrefixes: number,
  ) {}

  /** Number of sequences that hold cache. */
  get sequenceCount(): number {
    return this.sequences.size;
  }

  /** Cache events since the start; readers pass the index from which they want to read. */
  cacheEvents(after: number): readonly string[] {
    return this.events.slice(after);
  }

  /** Takes an order; false if its term is old and this engine checks terms. */
  order(term: number, model: string, range: LayerRange): boolean {
    if (this.checksTerm && term < this.highestTerm) {
      return false;
    }
    this.highestTerm = Math.max(term, this.highestTerm);
    if (model !== this.model || range.from !== this.range.from || range.to !== this.range.to) {
      this.sequences.clear();
      this.prefixes = [];
    }
    this.model = model;
    this.range = range;
    return true;
  }

  /** Positions of a step that must be computed, less those that the prefix cache holds. */
  positionsToCompute(req: StepRequest): number {
    if (req.prompt === undefined) {
      return req.data.length;
    }
    const text = req.prompt;
    const shared = this.prefixes.map((prefix) => commonLength(prefix.text, text));
    return Math.max(1, text.length - Math.max(0, ...shared)) + req.data.length;
  }

  /** Runs a step. */
  run(req: StepRequest): StepReply {
    const { sequence: id, step } = req;
    const layerCount = this.range.to - this.range.from;
    const known = this.sequences.get(id);
    const expected = known === undefined ? req.first : known.nextStep === step;
    const { from, to } = this.range;
    const isLoaded = req.model === this.model && req.range.from === from && req.range.to === to;
    if (!isLoaded || !expected) {
      const error = isLoaded ? `step ${known?.nextStep} expected` : `layers ${from}-${to} loaded`;
      return { sequence: id, step, error, data: [] };
    }
    const sequence = known ?? { cache: emptyCache(layerCount), nextStep: step };
    this.sequences.set(id, sequence);
    sequence.nextStep = step + 1;
    const inputs = req.prompt === undefined ? req.data : [...tokenize(req.prompt), ...req.data];
    if (req.prompt !== undefined) {
      this.keepPrefix(req.prompt);
    }
    const outputs = inputs.map((input) => runLayers(sequence.cache, this.range.from, input));
    if (!req.last) {
      return { sequence: id, step, data: outputs };
    }
    return { sequence: id, step, data: [], ...chooseToken(outputs[outputs.length - 1]) };
  }

  /** Frees a sequence. */
  drop(sequence: string): void {
    this.sequences.delete(sequence);
  }

  private keepPrefix(text: string): void {
    this.prefixes = [{ text }, ...this.prefixes.filter((kept) => kept.text !== text)];
    this.events.push(`stored ${text.slice(0, 64)}`);
    const evicted = this.prefixes.splice(this.maxPrefixes);
    evicted.forEach((kept) => this.events.push(`evicted ${kept.text.slice(0, 64)}`));
  }
}

function commonLength(a: string, b: string): number {
  const limit = Math.min(a.length, b.length);
  let length = 0;
  while (length < limit && a[length] === b[length]) {
    length += 1;
  }
  return length;
}
