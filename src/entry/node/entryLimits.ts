/** Interval of the search for stalls and passed deadlines, in milliseconds. */
export const timeoutCheckIntervalMs = 100;

/** Interval of the search for ejections that are over, in milliseconds. */
export const healthReportIntervalMs = 1_000;

/** Limits of ejections. */
export const ejectionLimits = { ejectMs: 10_000, maxEjectMs: 300_000, maxEjectedShare: 0.34 };

/** Test that finds failing endpoints. */
export const ejectionTestOptions = { baseRate: 0.02, minFailures: 5, criticalValue: 8, horizon: 5 };

/** Interval of placement steps, in milliseconds. */
export const placementIntervalMs = 500;

/** Interval at which a drain checks whether the work is finished, in milliseconds. */
export const drainPollMs = 20;

/** Time that the balancer is given to notice a drain, in milliseconds. */
export const loadBalancerGraceMs = 1_000;

/** Most epochs of one answer. */
export const maxEpochs = 6;

/** Most refusals by full or leaving endpoints before a request is given up. */
export const maxRefusals = 16;

/** Stall limit while an engine of the chain does not answer its agent, in milliseconds. */
export const engineUnreachableStallMs = 500;

/** Time that a request waits for a model that no chain serves, in milliseconds. */
export const unservedTimeoutMs = 5_000;

/** Most claims in a shard's head object; keeps it near 100 KB. */
export const maxInlineClaims = 256;

/** Time after which a claim is given up, in milliseconds. */
export const claimTimeoutMs = 3_000;
