import type { IClock } from '../../../base/common/clock.js';
import { Emitter } from '../../../base/common/event.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { IFailureDetector } from './failureDetector.js';

/** An endpoint was ejected or taken back. */
export interface HealthChange {
  readonly endpoint: string;
  readonly ejected: boolean;
}

/** Limits of ejections. */
export interface EndpointHealthOptions {
  /** Time of a first ejection; each further one takes twice as long, in milliseconds. */
  readonly ejectMs: number;
  /** Longest ejection, in milliseconds. */
  readonly maxEjectMs: number;
  /** Largest share of a group of endpoints that may be ejected at once. */
  readonly maxEjectedShare: number;
}

interface Health {
  detector: IFailureDetector;
  ejections: number;
  ejectedUntilMs: number | undefined;
}

/** Ejects endpoints that keep failing, but never so many that a group runs short. */
export class EndpointHealth {
  private readonly byEndpoint = new Map<string, Health>();

  private readonly changes = new Emitter<HealthChange>();

  /** Fires when an endpoint was ejected or taken back. */
  readonly onDidChange = this.changes.event;

  /**
   * @param options - Limits.
   * @param createDetector - Makes the detector of one endpoint.
   * @param groupOf - Returns the endpoints that can do the same work, the endpoint included.
   * @param clock - Source of time.
   * @param logger - Receives ejections.
   */
  constructor(
    private readonly options: EndpointHealthOptions,
    private readonly createDetector: () => IFailureDetector,
    private readonly groupOf: (endpoint: string) => readonly string[],
    private readonly clock: IClock,
    private readonly logger: ILogger,
  ) {}

  /**
   * Records the outcome of a request.
   *
   * @param endpoint - Where it ran.
   * @param failed - Whether it failed.
   */
  record(endpoint: string, failed: boolean): void {
    const health = this.healthOf(endpoint);
    const isFailing = health.detector.record(failed);
    if (isFailing && health.ejectedUntilMs === undefined && this.mayEject(endpoint)) {
      this.eject(endpoint, health);
    }
  }

  /** Takes back endpoints whose ejection is over; call this about once a second. */
  endExpiredEjections(): void {
    const nowMs = this.clock.monotonicMs();
    for (const [endpoint, health] of this.byEndpoint) {
      if (health.ejectedUntilMs !== undefined && health.ejectedUntilMs <= nowMs) {
        health.ejectedUntilMs = undefined;
        health.detector = this.createDetector();
        this.logger.log(LogLevel.Info, 'endpoint-taken-back', { endpoint });
        this.changes.fire({ endpoint, ejected: false });
      }
    }
  }

  /**
   * Forgets an endpoint that is gone.
   *
   * @param endpoint - Its id.
   */
  forget(endpoint: string): void {
    this.byEndpoint.delete(endpoint);
  }

  private healthOf(endpoint: string): Health {
    const known = this.byEndpoint.get(endpoint);
    if (known) {
      return known;
    }
    const created: Health = {
      detector: this.createDetector(),
      ejections: 0,
      ejectedUntilMs: undefined,
    };
    this.byEndpoint.set(endpoint, created);
    return created;
  }

  private mayEject(endpoint: string): boolean {
    const group = this.groupOf(endpoint);
    const ejected = group.filter(
      (member) => this.byEndpoint.get(member)?.ejectedUntilMs !== undefined,
    );
    return ejected.length + 1 <= group.length * this.options.maxEjectedShare;
  }

  private eject(endpoint: string, health: Health): void {
    const { ejectMs, maxEjectMs } = this.options;
    const forMs = Math.min(maxEjectMs, ejectMs * 2 ** health.ejections);
    health.ejections += 1;
    health.ejectedUntilMs = this.clock.monotonicMs() + forMs;
    this.logger.log(LogLevel.Warn, 'endpoint-ejected', { endpoint, forMs });
    this.changes.fire({ endpoint, ejected: true });
  }
}
