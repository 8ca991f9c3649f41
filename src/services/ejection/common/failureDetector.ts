/** Decides from the outcomes of requests whether an endpoint is failing. */
export interface IFailureDetector {
  /** Records the outcome of a request; returns true if the endpoint is now considered failing. */
  record(failed: boolean): boolean;
}

/** Considers an endpoint failing after a number of consecutive failures. */
export class ConsecutiveFailures implements IFailureDetector {
  private consecutiveFailures = 0;

  /** @param limit - Number of consecutive failures. */
  constructor(private readonly limit: number) {}

  record(failed: boolean): boolean {
    this.consecutiveFailures = failed ? this.consecutiveFailures + 1 : 0;
    return this.consecutiveFailures >= this.limit;
  }
}

/** Parameters of a sequential test. */
export interface SequentialTestOptions {
  /** Failure rate of a healthy endpoint, as a fraction of its requests. */
  readonly baseRate: number;
  /** Minimum number of failures before the test may signal. */
  readonly minFailures: number;
  /** Log-likelihood ratio at or above which the test signals. */
  readonly criticalValue: number;
  /** Expected number of failures (base rate times requests) at which the test restarts. */
  readonly maxExpectedFailures: number;
}

/**
 * Maximised sequential probability ratio test for a Poisson rate with a minimum number of events,
 * after Kulldorff and Silva, "Continuous Post-Market Sequential Safety Surveillance with Minimum
 * Events to Signal" (2015).
 */
export class SequentialTest implements IFailureDetector {
  private failures = 0;

  private expectedFailures = 0;

  /** @param options - Parameters of the test. */
  constructor(private readonly options: SequentialTestOptions) {}

  record(failed: boolean): boolean {
    const { baseRate, minFailures, criticalValue, maxExpectedFailures } = this.options;
    this.expectedFailures += baseRate;
    this.failures += failed ? 1 : 0;
    if (this.failures >= minFailures && this.logLikelihoodRatio() >= criticalValue) {
      return true;
    }
    if (this.expectedFailures >= maxExpectedFailures) {
      this.failures = 0;
      this.expectedFailures = 0;
    }
    return false;
  }

  private logLikelihoodRatio(): number {
    const { failures, expectedFailures } = this;
    if (failures <= expectedFailures) {
      return 0;
    }
    return expectedFailures - failures + failures * Math.log(failures / expectedFailures);
  }
}
