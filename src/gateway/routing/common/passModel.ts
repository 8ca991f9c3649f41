import type { CardKind, EngineProfile } from '../../config/common/configSnapshot.js';
import type { EndpointLoad } from './endpointLoad.js';

/*
 * Model of the passes of an endpoint. In each step an endpoint reads at most `chunkTokens` prompt tokens, in
 * the order of arrival, and runs one decode step for the requests that decode; a pass runs `stepsPerPass`
 * steps while any request decodes. Times are proportional to the number of layers.
 */

/** What an endpoint runs for a stage. */
export interface StageWork {
  readonly card: CardKind;
  readonly layers: number;
  /** Load of the endpoint, of all gateways. */
  readonly load: Readonly<EndpointLoad>;
}

const millisecondsPerSecond = 1_000;

const tokensPerThousand = 1_000;

/** Pairs of a token and an earlier one in a prompt of n tokens are n²/2; the profile counts in millions. */
const squaredTokensPerMillionPairs = 2e6;

const bitsPerByte = 8;

const bitsPerMillisecondPerMbps = 1_000;

/** Share of a pass that remains on average when a prompt arrives. */
const remainingPassShare = 0.5;

/**
 * Computes the time to prefill a prompt, without the decode steps between its chunks.
 *
 * @param engine - Engine profile of the service.
 * @param card - Card of the endpoint.
 * @param tokens - Tokens of the prompt.
 * @param layers - Number of layers of the stage.
 * @returns Time in milliseconds.
 */
export function prefillMs(
  engine: EngineProfile,
  card: CardKind,
  tokens: number,
  layers: number,
): number {
  const attentionMs =
    (engine.attentionMsPerMillionPairs * tokens * tokens) / squaredTokensPerMillionPairs;
  const linearMs = (tokens * millisecondsPerSecond) / engine.prefillTokensPerSecond;
  return ((linearMs + attentionMs) * card.prefillFactor * layers) / engine.layerCount;
}

/**
 * Computes the time of one decode step of a stage.
 *
 * @param engine - Engine profile of the service.
 * @param work - What the endpoint runs; every request there counts as decoding.
 * @returns Time in milliseconds; 0 without requests.
 */
export function decodeStepMs(engine: EngineProfile, { card, layers, load }: StageWork): number {
  if (load.requests === 0) {
    return 0;
  }
  const contextTokens = load.tokenLayers / Math.max(1, layers);
  const contextMs = ((engine.contextMsPerThousandTokens ?? 0) * contextTokens) / tokensPerThousand;
  const stepMs = engine.stepMs + engine.stepMsPerActiveRequest * load.requests + contextMs;
  return (stepMs * card.stepFactor * layers) / engine.layerCount;
}

/**
 * Computes the time that a prompt occupies a stage: its prefill, and the decode steps between its chunks.
 *
 * @param engine - Engine profile of the service.
 * @param work - What the endpoint runs.
 * @param tokens - Tokens of the prompt.
 * @returns Time in milliseconds.
 */
export function occupancyMs(engine: EngineProfile, work: StageWork, tokens: number): number {
  const steps =
    engine.chunkTokens === undefined ? 0 : Math.max(0, Math.ceil(tokens / engine.chunkTokens) - 1);
  return prefillMs(engine, work.card, tokens, work.layers) + steps * decodeStepMs(engine, work);
}

/**
 * Computes the time that each token of a long prompt occupies a stage.
 *
 * @param engine - Engine profile of the service.
 * @param work - What the endpoint runs.
 * @returns Milliseconds for each token.
 */
export function occupancyMsPerToken(engine: EngineProfile, work: StageWork): number {
  const stepMs =
    engine.chunkTokens === undefined ? 0 : decodeStepMs(engine, work) / engine.chunkTokens;
  return prefillMs(engine, work.card, 1, work.layers) + stepMs;
}

/**
 * Computes the expected wait of a prompt that arrives at a stage: the rest of the running pass, and the
 * prompt tokens that arrived earlier. A prompt counts at all stages of its path until its first event; with
 * its tokens spread over the stages instead, paths were balanced worse in bursts.
 *
 * @param engine - Engine profile of the service.
 * @param work - What the endpoint runs; all of `load.promptTokens` count as still unread there.
 * @returns Time in milliseconds.
 */
export function stageWaitMs(engine: EngineProfile, work: StageWork): number {
  const passMs = engine.stepsPerPass * decodeStepMs(engine, work);
  const queuedTokens = work.load.promptTokens ?? 0;
  return remainingPassShare * passMs + queuedTokens * occupancyMsPerToken(engine, work);
}

/**
 * Computes the time that the activations of a prompt occupy the link between data centres. All prompts share
 * the link, one transfer after another.
 *
 * @param engine - Engine profile of the service.
 * @param tokens - Tokens of the prompt, or of all prompts that wait for the link.
 * @returns Time in milliseconds; 0 if the configuration sets no bandwidth.
 */
export function transferMs(engine: EngineProfile, tokens: number): number {
  const { interDataCentreMbps, activationBytesPerToken } = engine;
  return interDataCentreMbps === undefined
    ? 0
    : (tokens * activationBytesPerToken * bitsPerByte) /
        (interDataCentreMbps * bitsPerMillisecondPerMbps);
}
