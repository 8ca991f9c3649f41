/** Whether requests of a route may be retried, and how they are answered. */
export enum RouteKind {
  /** Idempotent: may run more than once. */
  Safe = 'safe',
  /** Runs at most once for each request. */
  Unsafe = 'unsafe',
  /** Answered by a stream of events. */
  Stream = 'stream',
}

/** Service that receives a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Relative to the weights of the route's other targets. */
  readonly weight: number;
}

/** Routes requests of one host and path prefix to services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Timeout of a request, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective, in milliseconds; for streams it applies to the first event. */
  readonly objectiveMs: number;
  /** Objective for the longest pause between two events of a stream, in milliseconds. */
  readonly maxPauseMs: number | undefined;
  /** Priority of the requests; 0 is the highest. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of endpoints to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether requests are accepted without an API key. */
  readonly isPublic: boolean;
  /** Whether an interrupted stream may continue after its last event at another endpoint. */
  readonly isResumable: boolean;
}

/** Kind of accelerator card. */
export interface CardKind {
  readonly memoryMb: number;
  /** Factor on the time of a decode step; 1 is the reference card. */
  readonly stepFactor: number;
  /** Factor on the time of all other work; 1 is the reference card. */
  readonly prefillFactor: number;
}

/**
 * Performance profile of the engines of a model service. Times apply to the reference card and all
 * layers.
 */
export interface EngineProfile {
  readonly layerCount: number;
  /** Weights of one layer, in megabytes. */
  readonly layerMb: number;
  /** Key-value cache of one token over all layers, in bytes. */
  readonly cacheBytesPerToken: number;
  readonly stepMs: number;
  /** Time that each active request adds to a decode step, in milliseconds. */
  readonly stepMsPerActiveRequest: number;
  /** Prompt tokens prefilled per second. */
  readonly prefillTokensPerSecond: number;
  /** Attention time per million pairs of a prompt token and an earlier token, in milliseconds. */
  readonly attentionMsPerMillionPairs: number;
  /** Number of decode steps that an engine runs for its active requests in one pass. */
  readonly stepsPerPass: number;
  /** Concurrent requests for which an endpoint may run the first stage of a path. */
  readonly slots: number;
  /** Time to load all layers, in milliseconds. */
  readonly loadMs: number;
  /** Concurrent loads of weights that the weight store serves at full speed. */
  readonly maxConcurrentLoads: number;
  /** Prompt tokens that an engine reads in one step at most; undefined if unknown. */
  readonly chunkTokens?: number;
  /**
   * Time that each 1,000 tokens of context of an active request add to a decode step, in milliseconds;
   * undefined if unknown.
   */
  readonly contextMsPerThousandTokens?: number;
  /** Mean number of tokens of a prompt; undefined if unknown. */
  readonly meanPromptTokens?: number;
  /** Mean number of tokens of an answer. */
  readonly meanOutputTokens: number;
  /** Activations that one stage of a path sends to the next for each token, in bytes. */
  readonly activationBytesPerToken: number;
  /**
   * Bandwidth between data centres that all paths share, in megabits per second; undefined if unknown.
   */
  readonly interDataCentreMbps: number | undefined;
  readonly cards: ReadonlyMap<string, CardKind>;
}

/** Properties of a service to which routes send requests. */
export interface ServiceProfile {
  readonly name: string;
  /** Connections that an endpoint accepts from all its clients together. */
  readonly maxConnections: number;
  /** Engine profile of a model service; undefined for plain services. */
  readonly engine: EngineProfile | undefined;
  /** Why the engine profile can't be used, so that requests can't be served; undefined if it can. */
  readonly engineFault?: string;
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  /** Idle time after which a keep-alive connection may be closed, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** One version of the operator's complete configuration. */
export interface ConfigSnapshot {
  /** Increases with each change. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceProfile>;
  readonly limits: CallerLimits;
  /**
   * Organisation names by API key; undefined if the configuration has no organisations, so that requests need
   * no key. Empty if organisations exist but hold no key, so that every key is refused.
   */
  readonly organisationByKey: ReadonlyMap<string, string> | undefined;
  /**
   * Priorities of the organisations that have one, by name; 0 is the highest. Takes precedence over the
   * priority of the route.
   */
  readonly organisationPriorities?: ReadonlyMap<string, number>;
}
