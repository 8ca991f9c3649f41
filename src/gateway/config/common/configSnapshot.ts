/** What may be repeated of the requests of a route. */
export enum RouteKind {
  /** May run more than once. */
  Safe = 'safe',
  /** Runs at most once for each request. */
  Unsafe = 'unsafe',
  /** Answered by a series of events. */
  Stream = 'stream',
}

/** Service that takes a part of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Relative to the weights of the route's other targets. */
  readonly weight: number;
}

/** Rule that sends requests of one host and path prefix to services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request may be kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective; for streams up to the first event, in milliseconds. */
  readonly objectiveMs: number;
  /** Longest pause between events of a stream that is still on time, in milliseconds. */
  readonly maxPauseMs: number | undefined;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Endpoints to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether a stream may go on at another endpoint after its last event. */
  readonly isResumable: boolean;
}

/** Kind of accelerator card. */
export interface CardKind {
  readonly memoryMb: number;
  /** Factor on the time of a token step; 1 is the reference card. */
  readonly stepFactor: number;
  /** Factor on the time of everything but token steps. */
  readonly prefillFactor: number;
}

/** How the engines of a model service behave; times are of the reference card and all layers. */
export interface EngineProfile {
  readonly layerCount: number;
  /** Weights of one layer, in megabytes. */
  readonly layerMb: number;
  /** Cache of one token over all layers, in bytes. */
  readonly cacheBytesPerToken: number;
  readonly stepMs: number;
  /** Added to a step by each request that is generating, in milliseconds. */
  readonly stepMsPerActiveRequest: number;
  /** Prompt tokens read in a second. */
  readonly prefillTokensPerSecond: number;
  /** Time for a million pairs of a prompt token and an earlier one, in milliseconds. */
  readonly attentionMsPerMillionPairs: number;
  /** Steps of one pass that includes generating requests. */
  readonly stepsPerPass: number;
  /** Requests that an endpoint takes at once as the first of a path. */
  readonly slots: number;
  /** Time to load all layers, in milliseconds. */
  readonly loadMs: number;
  /** Loads that the weight store serves at full speed. */
  readonly maxConcurrentLoads: number;
  /** Mean number of tokens that an answer has. */
  readonly meanOutputTokens: number;
  /** What one part of a path sends to the next for each token, in bytes. */
  readonly activationBytesPerToken: number;
  /**
   * Bandwidth that all paths between data centres share, in megabits a second; undefined if unknown.
   */
  readonly interDataCentreMbps: number | undefined;
  readonly cards: ReadonlyMap<string, CardKind>;
}

/** Service that routes send requests to. */
export interface ServiceProfile {
  readonly name: string;
  /** Connections that an endpoint accepts from all callers together. */
  readonly maxConnections: number;
  /** Present where the service is a model with layers. */
  readonly engine: EngineProfile | undefined;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  /** Idle time after which a kept connection may be closed, in milliseconds. */
  readonly idleMs: number;
}

/** One version of the operator's configuration, whole. */
export interface ConfigSnapshot {
  /** Grows with each change. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceProfile>;
  readonly limits: CallerLimits;
  /** Name of the organisation by key; undefined where requests carry no keys. */
  readonly organisationByKey: ReadonlyMap<string, string> | undefined;
}
