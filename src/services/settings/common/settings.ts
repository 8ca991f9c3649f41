import * as v from 'valibot';
import { Err, Ok, type Result } from 'ts-results-es';
import { IbissparError } from '../../../base/common/errors.js';
import { LogLevel } from '../../../base/common/logger.js';

/** Settings are missing, of the wrong type or out of range. */
export class SettingsError extends IbissparError {
  readonly code = 'settings-invalid';

  /** @param faults - Every fault, as `path: reason`. */
  constructor(readonly faults: readonly string[]) {
    super(faults.join('; '));
  }
}

/** How chains are chosen. */
export enum RoutingPolicy {
  /** The least expected time among sampled candidates. */
  Fastest = 'fastest',
  /** A baseline for measurements. */
  Random = 'random',
  /** A baseline for measurements. */
  RoundRobin = 'round-robin',
}

/** In which order waiting requests leave. */
export enum QueueingPolicy {
  /** By the weights of the rules. */
  Fair = 'fair',
  /** First come, first served: a baseline for measurements. */
  Arrival = 'arrival',
}

const port = v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(65_535));
const name = v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'must be a lower-case name'));
const milliseconds = v.pipe(v.number(), v.integer(), v.minValue(1));
const url = v.pipe(v.string(), v.url());
const count = v.pipe(v.number(), v.integer(), v.minValue(1));

const instanceShape = {
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

const heartbeatOrderMessage = 'heartbeatDeadlineMs must be at least twice heartbeatMs';

function heartbeatsAreOrdered(settings: {
  readonly heartbeatMs: number;
  readonly heartbeatDeadlineMs: number;
}): boolean {
  return settings.heartbeatDeadlineMs >= 2 * settings.heartbeatMs;
}

/** Settings of `ibisspar-entry`. */
export const entrySchema = v.pipe(
  v.strictObject({
    ...instanceShape,
    httpPort: port,
    adminKeyHashes: v.optional(v.array(v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/))), []),
    requestMs: v.optional(milliseconds, 60_000),
    bodyBytes: v.optional(count, 1_048_576),
    routing: v.optional(v.enum(RoutingPolicy), RoutingPolicy.Fastest),
    queueing: v.optional(v.enum(QueueingPolicy), QueueingPolicy.Fair),
    queueLimit: v.optional(count, 512),
    stallMs: v.optional(milliseconds, 3_000),
    claimShards: v.optional(count, 64),
    claimRetentionMs: v.optional(milliseconds, 86_400_000),
    instancePollMs: v.optional(milliseconds, 1_000),
    leaseMs: v.optional(milliseconds, 6_000),
    usageFlushMs: v.optional(milliseconds, 5_000),
    latencies: v.optional(
      v.array(v.strictObject({ from: name, to: name, ms: v.pipe(v.number(), v.minValue(0)) })),
      [],
    ),
  }),
  v.check((settings) => heartbeatsAreOrdered(settings), heartbeatOrderMessage),
);

/** Settings of `ibisspar-agent`. */
export const agentSchema = v.pipe(
  v.strictObject({
    ...instanceShape,
    engineUrl: v.optional(url),
    service: v.optional(v.strictObject({ name, url, capacity: v.optional(count, 64) })),
    engineStepMs: v.optional(milliseconds, 20_000),
    engineStateMs: v.optional(milliseconds, 1_000),
    enginePollMs: v.optional(milliseconds, 250),
    orphanMs: v.optional(milliseconds, 5_000),
    keepAnswerMs: v.optional(milliseconds, 600_000),
    keepOutcomeMs: v.optional(milliseconds, 90_000_000),
    usageFlushMs: v.optional(milliseconds, 5_000),
  }),
  v.check((settings) => heartbeatsAreOrdered(settings), heartbeatOrderMessage),
  v.check(
    (settings) => (settings.engineUrl === undefined) !== (settings.service === undefined),
    'exactly one of engineUrl and service must be set',
  ),
);

const address = v.pipe(v.string(), v.regex(/^[0-9.]+:\d{1,5}$/, 'must be IP:PORT'));

/** Settings of `ibisspar-gateway`. */
export const gatewaySchema = v.strictObject({
  instance: name,
  host: v.pipe(v.string(), v.ip()),
  place: name,
  region: name,
  logLevel: v.optional(v.enum(LogLevel), LogLevel.Info),
  /** Where callers connect. */
  callerAddress: address,
  /** Where the balancer asks whether this gateway takes callers. */
  readyAddress: address,
  /** Where peers send their datagrams. */
  peerPort: port,
  metricsPort: port,
  storeAddress: address,
  storeCallMs: v.optional(milliseconds, 1_000),
  /** Time from SIGTERM to the end. */
  drainMs: milliseconds,
  leaseMs: v.optional(milliseconds, 6_000),
  retryRatio: v.pipe(v.number(), v.minValue(0)),
  retryWindowMs: milliseconds,
  retrySlack: v.pipe(v.number(), v.minValue(0)),
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
 * @param schema - The schema of the program.
 * @param input - Decoded YAML.
 * @returns The settings with defaults filled in, or every fault at once.
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
