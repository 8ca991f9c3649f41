import type { IClock } from '../../../base/common/clock.js';

/** Time constant of the moving average, in milliseconds. */
const timeConstantMs = 3_000;

const millisecondsPerSecond = 1_000;

interface Average {
  readonly perSecond: number;
  readonly atMs: number;
}

/** Moving average of the requests that callers send for each service. */
export class DemandMeter {
  private readonly averages = new Map<string, Average>();

  /** @param clock - Source of time. */
  constructor(private readonly clock: IClock) {}

  /**
   * Counts a request of a caller.
   *
   * @param service - Service that is to serve it.
   */
  countRequest(service: string): void {
    const perSecond = this.perSecond(service) + millisecondsPerSecond / timeConstantMs;
    this.averages.set(service, { perSecond, atMs: this.clock.monotonicMs() });
  }

  /**
   * Returns the rate of requests for a service.
   *
   * @param service - Name of the service.
   * @returns Requests per second.
   */
  perSecond(service: string): number {
    const average = this.averages.get(service);
    if (average === undefined) {
      return 0;
    }
    const ageMs = this.clock.monotonicMs() - average.atMs;
    return average.perSecond * Math.exp(-ageMs / timeConstantMs);
  }
}
