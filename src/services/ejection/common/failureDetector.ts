/** Decides from the outcomes of requests whether an endpoint is failing. */
export interface IFailureDetector {
  /** Records an outcome; returns true if the endpoint is now considered failing. */
  record(failed: boolean): boolean;
}

/** Considers an endpoint failing after a number of failures in a row. */
export class ConsecutiveFailures implements IFailureDetector {
  private row = 0;

  /** @param limit - Failures in a row. */
  constructor(private readonly limit: number) {}

  record(failed: boolean): boolean {
    this.row = failed ? this.row + 1 : 0;
    return this.row >= this.limit;
  }
}

/** Settings of a sequential test. */
export interface SequentialTestOptions {
  /** Failure rate of a healthy endpoint. */
  readonly baseRate: number;
  /** Fewest failures before the test may signal. */
  readonly minFailures: number;
  /** Log-likelihood ratio at which the test signals. */
  readonly criticalValue: number;
  /** Expected failures at which the test begins anew. */
  readonly horizon: number;
}

/**
 * Maximised sequential probability ratio test for a Poisson rate with a minimum number of events,
 * after Kulldorff and Silva, "Continuous Post-Market Sequential Safety Surveillance with Minimum
 * Events to Signal" (2015).
 */
export class SequentialTest implements IFailureDetector {
  private failures = 0;

  private expected = 0;

  /** @param options - Settings of the test. */
  constructor(private readonly options: SequentialTestOptions) {}

  record(failed: boolean): boolean {
    const { baseRate, minFailures, criticalValue, horizon } = this.options;
    this.expected += baseRate;
    this.failures += failed ? 1 : 0;
    if (this.failures >= minFailures && this.logLikelihoodRatio() >= criticalValue) {
      return true;
    }
    if (this.expected >= horizon) {
      this.failures = 0;
      this.expected = 0;
    }
    return false;
  }

  private logLikelihoodRatio(): number {
    const { failures, expected } = this;
    if (failures <= expected) {
      return 0;
    }
    return expected - failures + failures * Math.log(failures / expected);
  }
}
