/** Deterministic arithmetic that replaces a model's layers. */

const vocabularySize = 256;
const endTokenModulus = 4_096;

function mixHash(a: number, b: number): number {
  let hash = Math.imul(a ^ (b + 0x9e3779b9), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** State of the key-value cache of a layer range; one number represents the cache of each layer. */
export interface CacheState {
  /** Number of positions that the layers have processed. */
  positions: number;
  readonly layers: number[];
}

/**
 * Creates an empty cache.
 *
 * @param layerCount - Number of layers in the range.
 * @returns The cache.
 */
export function emptyCache(layerCount: number): CacheState {
  return { positions: 0, layers: new Array<number>(layerCount).fill(0) };
}

/**
 * Runs a range of layers over one position. A position that is skipped, repeated or out of order
 * changes every later output, so that such a fault is visible in the tokens.
 *
 * @param cache - Cache of the range; it is updated in place.
 * @param from - First layer of the range.
 * @param input - Output of the previous layer, or the token at the first layer.
 * @returns The output of the last layer of the range.
 */
export function runLayers(cache: CacheState, from: number, input: number): number {
  let value = input;
  for (let index = 0; index < cache.layers.length; index += 1) {
    value = mixHash(value, mixHash(cache.layers[index], from + index));
    cache.layers[index] = mixHash(cache.layers[index], value);
  }
  cache.positions += 1;
  return value;
}

/**
 * Turns text into tokens.
 *
 * @param text - Any text.
 * @returns One token for each UTF-8 byte.
 */
export function tokenize(text: string): number[] {
  return [...Buffer.from(text, 'utf8')];
}

/** Token that was chosen from the last layer's output. */
export interface TokenChoice {
  readonly token: number;
  readonly text: string;
  /** Whether the model ends its answer with this token. */
  readonly end: boolean;
}

/**
 * Chooses a token.
 *
 * @param output - Output of the model's last layer.
 * @returns The token and its text.
 */
export function chooseToken(output: number): TokenChoice {
  const token = output % vocabularySize;
  return { token, text: `${token.toString(16)} `, end: output % endTokenModulus === 0 };
}

/**
 * Computes the answer that a correct pipeline returns.
 *
 * @param layers - Number of layers of the model.
 * @param prompt - The prompt.
 * @param maxTokens - Maximum number of tokens in the answer.
 * @returns The text of the answer.
 */
export function referenceAnswer(layers: number, prompt: string, maxTokens: number): string {
  const cache = emptyCache(layers);
  let output = 0;
  for (const token of tokenize(prompt)) {
    output = runLayers(cache, 0, token);
  }
  let answer = '';
  for (let count = 1; count <= maxTokens; count += 1) {
    const choice = chooseToken(output);
    answer += choice.text;
    if (choice.end) {
      break;
    }
    output = runLayers(cache, 0, choice.token);
  }
  return answer;
}
