import * as v from 'valibot';
import { Err, Ok, type Result } from 'ts-results-es';
import { amountSchema } from '../../../base/common/boundedValues.js';
import { maxTimerMs } from '../../../base/common/clock.js';
import { IbissparError } from '../../../base/common/errors.js';
import { LogLevel } from '../../../base/common/logger.js';

/** Error for settings that are missing, of the wrong type or out of range. */
export class SettingsError extends IbissparError {
  readonly code = 'settings-invalid';

  /** @param faults - All validation errors, each as `path: reason`. */
  constructor(readonly faults: readonly string[]) {
    super(faults.join('; '));
  }
}

/** Policy by which the chain of a request is chosen. */
export enum RoutingPolicy {
  /** Chooses the chain with the shortest expected time among sampled candidates. */
  Fastest = 'fastest',
  /** Baseline for benchmarks. */
  Random = 'random',
  /** Baseline for benchmarks. */
  RoundRobin = 'round-robin',
}

/** Order in which waiting requests are admitted. */
export enum QueueingPolicy {
  /** Fair queueing with the weights of the rules. */
  Fair = 'fair',
  /** First come, first served; baseline for benchmarks. */
  Arrival = 'arrival',
}

/** Whether long prompts are paced so that they delay shorter ones less. */
export enum PromptPacingMode {
  /** Where the priorities or objectives of the routes to a service differ. */
  Auto = 'auto',
  On = 'on',
  Off = 'off',
}

const port = v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(65_535));
const name = v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'must be a lower-case name'));

const millisecondsByUnit = new Map([
  ['ms', 1],
  ['s', 1_000],
  ['m', 60_000],
  ['h', 3_600_000],
]);

/** Duration as text: a decimal number and its unit. */
const durationPattern = /^(\d+(?:\.\d+)?(?:e[+-]?\d+)?) ?(ms|s|m|h)$/i;

const durationText = v.pipe(
  v.string(),
  v.regex(durationPattern, 'must be a number of milliseconds, or text such as 7.5s'),
  v.transform((text) => {
    const [, figure, unit] = durationPattern.exec(text) ?? [];
    return Number(figure) * (millisecondsByUnit.get(unit.toLowerCase()) ?? NaN);
  }),
);

/** Whole milliseconds, at least 1; a duration that no timer can take stands for the longest that one can. */
const toWholeMs = v.transform((ms: number) => Math.min(maxTimerMs, Math.max(1, Math.round(ms))));

const durationMs = v.pipe(
  v.union([v.number(), durationText], 'must be a number of milliseconds, or text such as 7.5s'),
  amountSchema,
);

/** Duration in milliseconds, as a number or as text with a unit. */
const milliseconds = v.pipe(durationMs, v.gtValue(0), toWholeMs);

/** A unit alone: the text of a duration whose figure the platform left out of the template. */
const unitOnlyPattern = /^ ?(ms|s|m|h)$/i;

/**
 * Duration that the platform's template fills in. It may be 0, and its figure may be missing.
 *
 * @param defaultMs - Used where the figure is missing, in milliseconds.
 */
function templateMilliseconds(defaultMs: number) {
  return v.pipe(
    v.unknown(),
    v.transform((value) => {
      const isMissing =
        value === undefined ||
        value === null ||
        (typeof value === 'string' && unitOnlyPattern.test(value));
      return isMissing ? defaultMs : value;
    }),
    durationMs,
    toWholeMs,
  );
}
const url = v.pipe(v.string(), v.url(), v.regex(/^https?:/i, 'must be an HTTP URL'));

/** Count or size in bytes, at least 1; a fraction is rounded down. */
const count = v.pipe(amountSchema, v.minValue(1), v.transform(Math.floor));

const megabytes = v.pipe(amountSchema, v.gtValue(0));

const commonSchemaEntries = {
  instance: name,
  place: name,
  region: name,
  host: v.optional(v.pipe(v.string(), v.ip()), '127.0.0.1'),
  linkPort: port,
  platformUrl: url,
  logLevel: v.optional(v.enum(LogLevel), LogLevel.Info),
  statsd: v.optional(v.strictObject({ host: v.string(), port })),
  heartbeatMs: v.optional(milliseconds, 500),
  heartbeatDeadlineMs: v.optional(milliseconds, 1_500),
  platformCallMs: v.optional(milliseconds, 1_000),
  drainMs: v.optional(milliseconds, 30_000),
};

const heartbeatDeadlineMessage = 'heartbeatDeadlineMs must be at least twice heartbeatMs';

function isHeartbeatDeadlineValid(settings: {
  readonly heartbeatMs: number;
  readonly heartbeatDeadlineMs: number;
}): boolean {
  return settings.heartbeatDeadlineMs >= 2 * settings.heartbeatMs;
}

/** Limits of the machine, and bounds on what callers may make a process hold. */
const callerBoundEntries = {
  /** Memory of the machine, all of which the process may use, in megabytes. */
  memoryMb: v.nullish(megabytes),
  /** Descriptors that the process may have open, including those of its files. */
  maxDescriptors: v.nullish(count),
  /** Memory for callers' bodies and unread answers, in megabytes; derived from `memoryMb` without it. */
  callerMemoryMb: v.nullish(megabytes),
  /** Maximum number of connections of callers; derived from `maxDescriptors` without it. */
  maxCallerConnections: v.nullish(count),
  /** Maximum number of connections to the readiness address, and to the metrics. */
  maxStatusConnections: v.nullish(count),
  /** Maximum number of requests of one connection that are read before the first one is answered. */
  maxPipelinedRequests: v.nullish(count),
  /** Maximum number of requests of one connection that are served at the same time. */
  maxServedRequests: v.nullish(count),
  /** Maximum number of requests per second that start after they waited for others on their connection. */
  queuedStartsPerSecond: v.nullish(count),
  /** Time without any progress after which a body or the reader of an answer is given up, in milliseconds. */
  callerStallMs: v.nullish(milliseconds),
  /** Time without progress after which either is given up if others need the memory, in milliseconds. */
  callerYieldMs: v.nullish(milliseconds),
  /** Longest time for which a body waits for memory, in milliseconds. */
  bodyWaitMs: v.nullish(milliseconds),
  /** Memory that answers of endpoints may use before they are complete, in megabytes; derived if left out. */
  answerMemoryMb: v.nullish(megabytes),
  /** Share of the processor time that bodies in many small pieces may use. */
  bodyPieceShare: v.nullish(v.pipe(v.number(), v.gtValue(0), v.maxValue(1))),
};

/** Default of the size past which an answer of a service is broken off, in bytes. */
const defaultMaxAnswerBytes = 2_097_152;

/** Settings of `ibisspar-entry`. */
export const entrySchema = v.pipe(
  v.strictObject({
    ...commonSchemaEntries,
    httpPort: port,
    adminKeyHashes: v.optional(v.array(v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/))), []),
    requestMs: v.optional(milliseconds, 60_000),
    bodyBytes: v.optional(count, 1_048_576),
    /** Size of the largest answer of a plain service that agents send, in bytes. */
    maxAnswerBytes: v.optional(count, defaultMaxAnswerBytes),
    /** Time for the head of a request, in milliseconds. */
    headMs: v.optional(milliseconds, 10_000),
    /** Time for which a connection without a request is kept, in milliseconds. */
    idleMs: v.optional(milliseconds, 72_000),
    ...callerBoundEntries,
    routing: v.optional(v.enum(RoutingPolicy), RoutingPolicy.Fastest),
    queueing: v.optional(v.enum(QueueingPolicy), QueueingPolicy.Fair),
    queueLimit: v.optional(count, 512),
    /** Time without a token after which a chain is replaced, in milliseconds. */
    stallMs: v.optional(milliseconds, 3_000),
    claimShards: v.optional(count, 64),
    claimRetentionMs: v.optional(milliseconds, 86_400_000),
    instancePollMs: v.optional(milliseconds, 1_000),
    leaseMs: v.optional(milliseconds, 6_000),
    usageFlushMs: v.optional(milliseconds, 5_000),
    /** One-way latencies between data centres, in milliseconds; each applies in both directions. */
    latencies: v.optional(
      v.array(v.strictObject({ from: name, to: name, ms: v.pipe(v.number(), v.minValue(0)) })),
      [],
    ),
  }),
  v.check((settings) => isHeartbeatDeadlineValid(settings), heartbeatDeadlineMessage),
);

/** Settings of `ibisspar-agent`. */
export const agentSchema = v.pipe(
  v.strictObject({
    ...commonSchemaEntries,
    ...callerBoundEntries,
    engineUrl: v.optional(url),
    service: v.optional(v.strictObject({ name, url, capacity: v.optional(count, 64) })),
    engineStepMs: v.optional(milliseconds, 20_000),
    engineStateMs: v.optional(milliseconds, 1_000),
    enginePollMs: v.optional(milliseconds, 250),
    /** Maximum size of an answer of the engine or the plain service, in bytes. */
    maxAnswerBytes: v.optional(count, defaultMaxAnswerBytes),
    /** Size of the largest body of a call or prompt that entries send, in bytes. */
    maxCallBytes: v.optional(count, defaultMaxAnswerBytes),
    /**
     * Time that an entry has to reopen a lost link before its lookups are cancelled, in
     * milliseconds.
     */
    orphanMs: v.optional(milliseconds, 5_000),
    /** Time for which the answer of a finished attempt is kept, in milliseconds. */
    keepAnswerMs: v.optional(milliseconds, 600_000),
    /** Time for which the outcome of an attempt is kept, in milliseconds. */
    keepOutcomeMs: v.optional(milliseconds, 90_000_000),
    usageFlushMs: v.optional(milliseconds, 5_000),
  }),
  v.check((settings) => isHeartbeatDeadlineValid(settings), heartbeatDeadlineMessage),
  v.check(
    (settings) => (settings.engineUrl === undefined) !== (settings.service === undefined),
    'exactly one of engineUrl and service must be set',
  ),
);

/** Grace period of a gateway, and window of its retry budget, where the platform names none, in milliseconds. */
const defaultDrainMs = 8_000;
const defaultRetryWindowMs = 10_000;

const ipAndPort = v.pipe(v.string(), v.regex(/^[0-9.]+:\d{1,5}$/, 'must be IP:PORT'));

/** Settings of `ibisspar-gateway`. */
export const gatewaySchema = v.strictObject({
  instance: name,
  host: v.pipe(v.string(), v.ip()),
  place: name,
  region: name,
  logLevel: v.optional(v.enum(LogLevel), LogLevel.Info),
  /** Address on which callers connect. */
  callerAddress: ipAndPort,
  /** Address on which the load balancer checks whether this gateway accepts callers. */
  readyAddress: ipAndPort,
  /** Port to which peers send their datagrams. */
  peerPort: port,
  metricsPort: port,
  storeAddress: ipAndPort,
  storeCallMs: v.optional(milliseconds, 800),
  /** Time from SIGTERM to the end of the process, in milliseconds. */
  drainMs: templateMilliseconds(defaultDrainMs),
  leaseMs: v.optional(milliseconds, 6_000),
  /** Retries per request of a service, for all gateways together. */
  retryRatio: v.nullish(amountSchema, 0.2),
  /** Length of the sliding window of the retry budget, in milliseconds. */
  retryWindowMs: templateMilliseconds(defaultRetryWindowMs),
  /** Retries of all gateways that a window allows regardless of the number of requests. */
  retrySlack: v.nullish(amountSchema, 0),
  /** Maximum size of an answer of an endpoint that is not an event stream, in bytes. */
  maxAnswerBytes: v.optional(count, defaultMaxAnswerBytes),
  /** Whether long prompts are paced. */
  promptPacing: v.optional(v.enum(PromptPacingMode), PromptPacingMode.Auto),
  ...callerBoundEntries,
  /** Whether the whole system starts for the first time, so that the store can't have lost anything. */
  isFirstStart: v.nullish(v.boolean(), false),
});

/** Checked settings of `ibisspar-gateway`. */
export type GatewaySettings = v.InferOutput<typeof gatewaySchema>;

/** Checked settings of `ibisspar-entry`. */
export type EntrySettings = v.InferOutput<typeof entrySchema>;

/** Checked settings of `ibisspar-agent`. */
export type AgentSettings = v.InferOutput<typeof agentSchema>;

/**
 * Checks settings against a schema.
 *
 * @param schema - Settings schema of the program.
 * @param input - Decoded YAML document.
 * @returns The settings with defaults filled in, or an error that lists all validation errors.
 */
export function checkSettings<S extends v.GenericSchema>(
  schema: S,
  input: unknown,
): Result<v.InferOutput<S>, SettingsError> {
  const result = v.safeParse(schema, input);
  if (result.success) {
    return Ok(result.output);
  }
  const faults = result.issues.map(
    (issue) => `${v.getDotPath(issue) ?? '(root)'}: ${issue.message}`,
  );
  return Err(new SettingsError(faults));
}
