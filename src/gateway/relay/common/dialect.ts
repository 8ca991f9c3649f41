import type { HeaderMap } from '../../../services/exchange/common/headerMap.js';
import type { LayerPath } from '../../routing/common/pathFinder.js';

/** Data that the gateway reads from a caller's request, independent of the header names. */
export interface RequestMetadata {
  readonly requestId: string | undefined;
  /** Caller's timeout for the complete answer, in milliseconds. */
  readonly waitMs: number | undefined;
  readonly apiKey: string | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Caller's estimate of the answer's length, in tokens; often far off. */
  readonly expectedOutputTokens: number | undefined;
  /** Id of the last event that the caller received, if it resumes a stream. */
  readonly lastEventId: string | undefined;
  /** Ids of the prompt's parts that other requests may share, in order; the last part is the request's own. */
  readonly sharedParts: readonly string[];
}

/** Data that the gateway adds to a request to an endpoint. */
export interface ForwardMetadata {
  /** Time until the request's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Id of the endpoint that is expected at the address; another endpoint there must refuse the request. */
  readonly endpointId: string;
  readonly organisation: string | undefined;
  readonly path: LayerPath | undefined;
  /** Id of the last event that the caller received, if the endpoint is to resume a stream. */
  readonly lastEventId: string | undefined;
  /**
   * Urgency for the endpoint's own queue, from 0 (first) to 9; undefined if the endpoint isn't told, and
   * the caller's own value is passed on.
   */
  readonly requestPriority?: number;
}

/** Data that the gateway reads from an endpoint's answer. */
export interface AnswerMetadata {
  readonly requestId: string | undefined;
  /** Whether the answer carries the endpoint's signature. */
  readonly hasSignature: boolean;
  /** Whether the answer proves that the endpoint didn't run the request. */
  readonly didNotRun: boolean;
  /** Address of the endpoint at fault, if it isn't the endpoint that answered. */
  readonly faultAddress: string | undefined;
  /** Whether an intermediary encoded the body, so that it isn't what the endpoint sent. */
  readonly isEncoded: boolean;
  /** Whether the answer shows that the expected endpoint gave it itself. */
  readonly isEndpointsOwn: boolean;
  /** Rate that the endpoint takes from all gateways together; undefined if it names none. */
  readonly namedLimit: NamedLimit | undefined;
  /** Whether the endpoint says that it leaves. */
  readonly isLeaving: boolean;
  /** Time for which the endpoint wants nothing from this gateway; undefined if it names none. */
  readonly namedPause: NamedPause | undefined;
}

/**
 * Returns whether an answer is certainly the one to a request. On a connection that has carried others, an
 * endpoint may write a copy of an earlier answer in its place, which only its id tells apart.
 *
 * @param requestId - Id of the request.
 * @param answer - What was read from the answer.
 * @param isFirstOnConnection - Whether the connection has carried no other request.
 */
export function isAnswerTo(
  requestId: string | undefined,
  answer: AnswerMetadata,
  isFirstOnConnection: boolean,
): boolean {
  return answer.requestId === undefined ? isFirstOnConnection : answer.requestId === requestId;
}

/** Rate limit that an endpoint in need names in an answer. */
export interface NamedLimit {
  /** Requests per second; undefined if the text isn't a rate. */
  readonly perSecond: number | undefined;
  /** The limit as the endpoint wrote it. */
  readonly text: string;
}

/** Time for which an endpoint that turned a request away wants nothing more. */
export interface NamedPause {
  /** Duration in milliseconds; undefined if the text isn't one. */
  readonly durationMs: number | undefined;
  /** The duration as the endpoint wrote it. */
  readonly text: string;
}

/** Translates between the gateway's request metadata and the headers of callers and endpoints. */
export interface IDialect {
  /** Reads the headers of a caller's request. */
  readRequest(headers: HeaderMap): RequestMetadata;
  /**
   * Returns the headers of a request to an endpoint.
   *
   * @param rawHeaders - Caller's headers; each name is followed by its value.
   * @param metadata - Data that the gateway adds.
   * @returns Header names, each followed by its value.
   */
  endpointHeaders(rawHeaders: readonly string[], metadata: ForwardMetadata): string[];
  /** Reads the status and headers of an endpoint's answer. */
  readAnswer(status: number, headers: HeaderMap): AnswerMetadata;
  /**
   * Returns the headers of an answer to a caller.
   *
   * @param rawHeaders - Endpoint's headers; each name is followed by its value.
   * @returns Header names, each followed by its value.
   */
  callerHeaders(rawHeaders: readonly string[]): string[];
}
