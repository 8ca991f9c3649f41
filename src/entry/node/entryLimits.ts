/** Interval at which answers are checked for stalls and exceeded deadlines, in milliseconds. */
export const timeoutCheckIntervalMs = 100;

/** Interval at which expired ejections are ended and gauges are updated, in milliseconds. */
export const healthReportIntervalMs = 1_000;

/** Duration of ejections and maximum share of interchangeable endpoints ejected at once. */
export const ejectionLimits = {
  firstEjectionMs: 10_000,
  maxEjectionMs: 300_000,
  maxEjectedFraction: 0.34,
};

/** Parameters of the sequential test that detects failing endpoints. */
export const ejectionTestOptions = {
  baseRate: 0.02,
  minFailures: 5,
  criticalValue: 8,
  maxExpectedFailures: 5,
};

/** Interval at which an entry asks whether the store is restored after its return, in milliseconds. */
export const restoreCheckIntervalMs = 250;

/** Interval of placement steps, in milliseconds. */
export const placementIntervalMs = 500;

/** Interval at which a drain checks whether all requests have ended, in milliseconds. */
export const drainPollIntervalMs = 20;

/** Time for the load balancer to notice the start of a drain, in milliseconds. */
export const loadBalancerGraceMs = 1_000;

/** Maximum number of epochs of one answer. */
export const maxEpochs = 6;

/** Maximum number of refusals by full or draining endpoints before a request fails. */
export const maxRefusals = 16;

/** Stall timeout while an engine of the chain does not answer its agent, in milliseconds. */
export const engineUnreachableStallMs = 500;

/** Time that a request waits for a model that no connected endpoint serves, in milliseconds. */
export const unservedTimeoutMs = 5_000;

/** Maximum number of claims in a shard's head object; keeps the object near 100 KB. */
export const maxHeadClaims = 256;

/** Timeout of a change to a claim, in milliseconds. */
export const claimTimeoutMs = 3_000;
