import { incarnationOf } from '../../directory/common/endpoint.js';
import { Suspicion } from '../../directory/common/endpointDirectory.js';
import type { LayerPath } from '../../routing/common/pathFinder.js';

/**
 * Response time above which a refusal means that the endpoint at fault is silent, in milliseconds. After
 * a faster refusal, that endpoint counts as alive but refusing requests.
 */
const slowRefusalMs = 1_200;

const misdirectedStatus = 421;

/** Why a send did not give a complete answer. */
export enum SendFailure {
  /** No byte of the request reached the endpoint. */
  NotSent = 'not-sent',
  /** The endpoint's answer proves that it didn't run the request. */
  NotRun = 'not-run',
  /** The answer was interrupted, reports an error, or isn't the endpoint's unaltered answer. */
  Interrupted = 'cut',
  /** The first endpoint of the path answers later requests, but not this one. */
  Unanswered = 'unanswered',
  /** An endpoint of the path does not respond. */
  EndpointSilent = 'dead',
}

/** Returns the suspicion that a refusal raises against the endpoint at fault. */
export function suspicionOf(status: number, waitedMs: number): Suspicion {
  if (status === misdirectedStatus) {
    return Suspicion.Misdirected;
  }
  return waitedMs > slowRefusalMs ? Suspicion.Silent : Suspicion.Refusing;
}

/**
 * Formats a path for a log line.
 *
 * @param path - Path to format.
 * @returns The incarnation of each stage with its layer range, separated by commas.
 */
export function describePath(path: LayerPath): string {
  return path.stages
    .map(({ endpoint, from, to }) => `${incarnationOf(endpoint)}:${from}-${to}`)
    .join(',');
}
