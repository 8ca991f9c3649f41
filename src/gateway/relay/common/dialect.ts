import type { LayerPath } from '../../routing/common/pathFinder.js';

/** What the gateway reads of a caller's request, whatever the names of the headers. */
export interface RequestMetadata {
  readonly requestId: string | undefined;
  /** How long the caller waits for its answer, in milliseconds. */
  readonly waitMs: number | undefined;
  readonly apiKey: string | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of the answer's length; often far off. */
  readonly expectedOutputTokens: number | undefined;
  /** Last event that the caller has, when it resumes a stream. */
  readonly lastEventId: string | undefined;
}

/** What the gateway adds to a request when it sends it to an endpoint. */
export interface ForwardMetadata {
  /** Time that is left for the answer, in milliseconds. */
  readonly remainingMs: number;
  /** Id of the endpoint that must be the one at the address. */
  readonly endpointId: string;
  readonly organisation: string | undefined;
  readonly path: LayerPath | undefined;
  /** Last event that the caller has, when a stream goes on elsewhere. */
  readonly lastEventId: string | undefined;
}

/** What the gateway reads of an endpoint's answer. */
export interface AnswerMetadata {
  readonly requestId: string | undefined;
  /** Whether the endpoint vouches for the answer. */
  readonly hasSignature: boolean;
  /** Whether the answer proves that the endpoint didn't run the request. */
  readonly didNotRun: boolean;
  /** Endpoint at fault, where it is another one of the path. */
  readonly faultAddress: string | undefined;
  /** Whether the body was encoded on the way, so that it isn't the endpoint's own. */
  readonly isEncoded: boolean;
}

/** Headers by lower-case name. */
export type HeaderMap = Readonly<Record<string, string | string[] | undefined>>;

/** Translates between the gateway's request metadata and the headers of callers and endpoints. */
export interface IDialect {
  /** Reads a caller's request. */
  readRequest(headers: HeaderMap): RequestMetadata;
  /**
   * Headers of a request to an endpoint.
   *
   * @param rawHeaders - The caller's headers, names and values by turns.
   * @param send - What the gateway adds.
   * @returns Names and values by turns.
   */
  endpointHeaders(rawHeaders: readonly string[], send: ForwardMetadata): string[];
  /** Reads an endpoint's answer. */
  readAnswer(status: number, headers: HeaderMap): AnswerMetadata;
  /**
   * Headers of an answer to a caller.
   *
   * @param rawHeaders - The endpoint's headers, names and values by turns.
   * @returns Names and values by turns.
   */
  callerHeaders(rawHeaders: readonly string[]): string[];
}
