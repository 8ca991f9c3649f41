import type { IClock } from '../../../base/common/clock.js';
import { Emitter } from '../../../base/common/event.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { IFailureDetector } from './failureDetector.js';

/** Ejection or readmission of an endpoint. */
export interface HealthChange {
  readonly endpoint: string;
  readonly ejected: boolean;
}

/** Durations and limits of ejections. */
export interface EndpointHealthOptions {
  /** Duration of the first ejection, in milliseconds; doubles with each further ejection. */
  readonly firstEjectionMs: number;
  /** Upper bound of an ejection's duration, in milliseconds. */
  readonly maxEjectionMs: number;
  /** Largest fraction of a group of endpoints that may be ejected at the same time. */
  readonly maxEjectedFraction: number;
}

interface EndpointState {
  detector: IFailureDetector;
  ejectionCount: number;
  ejectedUntilMs: number | undefined;
}

/**
 * Ejects endpoints that keep failing. At most a given fraction of a group of endpoints is ejected at
 * the same time, so that the group keeps enough capacity.
 */
export class EndpointHealth {
  private readonly stateByEndpoint = new Map<string, EndpointState>();

  private readonly changeEmitter = new Emitter<HealthChange>();

  /** Fires when an endpoint is ejected or readmitted. */
  readonly onDidChange = this.changeEmitter.event;

  /**
   * @param options - Durations and limits of ejections.
   * @param createDetector - Creates the failure detector of one endpoint.
   * @param groupOf - Returns the endpoints that can do the same work, including the endpoint itself.
   * @param clock - Source of time.
   * @param logger - Logs ejections and readmissions.
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
   * @param endpoint - Endpoint that ran the request.
   * @param failed - Whether the request failed.
   */
  record(endpoint: string, failed: boolean): void {
    const state = this.stateOf(endpoint);
    const isFailing = state.detector.record(failed);
    if (isFailing && state.ejectedUntilMs === undefined && this.mayEject(endpoint)) {
      this.eject(endpoint, state);
    }
  }

  /** Readmits endpoints whose ejection has expired; must be called about once a second. */
  endExpiredEjections(): void {
    const nowMs = this.clock.monotonicMs();
    for (const [endpoint, state] of this.stateByEndpoint) {
      if (state.ejectedUntilMs !== undefined && state.ejectedUntilMs <= nowMs) {
        state.ejectedUntilMs = undefined;
        state.detector = this.createDetector();
        this.logger.log(LogLevel.Info, 'endpoint-taken-back', { endpoint });
        this.changeEmitter.fire({ endpoint, ejected: false });
      }
    }
  }

  /**
   * Removes all state of an endpoint that no longer exists.
   *
   * @param endpoint - Id of the endpoint.
   */
  forget(endpoint: string): void {
    this.stateByEndpoint.delete(endpoint);
  }

  private stateOf(endpoint: string): EndpointState {
    const known = this.stateByEndpoint.get(endpoint);
    if (known) {
      return known;
    }
    const created: EndpointState = {
      detector: this.createDetector(),
      ejectionCount: 0,
      ejectedUntilMs: undefined,
    };
    this.stateByEndpoint.set(endpoint, created);
    return created;
  }

  private mayEject(endpoint: string): boolean {
    const group = this.groupOf(endpoint);
    const ejected = group.filter(
      (member) => this.stateByEndpoint.get(member)?.ejectedUntilMs !== undefined,
    );
    return ejected.length + 1 <= group.length * this.options.maxEjectedFraction;
  }

  private eject(endpoint: string, state: EndpointState): void {
    const { firstEjectionMs, maxEjectionMs } = this.options;
    const ejectionMs = Math.min(maxEjectionMs, firstEjectionMs * 2 ** state.ejectionCount);
    state.ejectionCount += 1;
    state.ejectedUntilMs = this.clock.monotonicMs() + ejectionMs;
    this.logger.log(LogLevel.Warn, 'endpoint-ejected', { endpoint, forMs: ejectionMs });
    this.changeEmitter.fire({ endpoint, ejected: true });
  }
}
