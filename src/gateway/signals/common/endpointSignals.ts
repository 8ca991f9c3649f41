import type { IClock } from '../../../base/common/clock.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { IRandom } from '../../../base/common/random.js';
import { incarnationOf, type Endpoint } from '../../directory/common/endpoint.js';
import type { EndpointDirectory } from '../../directory/common/endpointDirectory.js';
import type { EndpointLimits } from '../../limits/common/endpointLimits.js';
import type { AnswerMetadata, NamedPause } from '../../relay/common/dialect.js';
import { EndpointPauses } from './endpointPauses.js';

/** Longest pause that is kept, in milliseconds; a longer one is taken for a mistake of the endpoint. */
const maxPauseMs = 3_600_000;

/** Shortest delay after which a refused caller is asked to return, in milliseconds. */
const minRetryAfterMs = 200;

/** Time over which the returns of refused callers are spread after the end of a pause, in milliseconds. */
const returnSpreadMs = 1_000;

/** Decides whether endpoints may be sent requests, as far as they have asked for fewer or none. */
export interface ISendPermission {
  /** Returns whether an endpoint may be sent a request now. */
  mayUse(endpoint: Endpoint): boolean;
  /** Counts a request that is sent to an endpoint, or to a path that includes it. */
  recordSend(endpoint: Endpoint): void;
  /**
   * Returns when a caller may come back that was refused for want of permission.
   *
   * @param service - Service of the request.
   * @param suffice - Whether some of its endpoints could serve the request; a single one can by default.
   * @returns Delay in milliseconds.
   */
  retryAfterMs(service: string, suffice?: (endpoints: readonly Endpoint[]) => boolean): number;
}

/** What the signals of endpoints depend on. */
export interface EndpointSignalsDependencies {
  readonly limits: EndpointLimits;
  readonly directory: EndpointDirectory;
  readonly random: IRandom;
  readonly clock: IClock;
  readonly logger: ILogger;
}

/**
 * What endpoints say of themselves in their answers: that they leave, that they want no requests for a
 * while, and how many they take. Each holds for one incarnation. A pause concerns only the gateway that
 * was told; the directory and the limits tell the peers of the others.
 */
export class EndpointSignals implements ISendPermission {
  private readonly pauses: EndpointPauses;

  /** @param dependencies - Shared objects. */
  constructor(private readonly dependencies: EndpointSignalsDependencies) {
    this.pauses = new EndpointPauses(dependencies.clock);
  }

  /** Number of endpoints that want no requests of this gateway now. */
  get pausedCount(): number {
    return this.pauses.count;
  }

  mayUse(endpoint: Endpoint): boolean {
    return this.pauses.mayUse(incarnationOf(endpoint)) && this.dependencies.limits.mayUse(endpoint);
  }

  recordSend(endpoint: Endpoint): void {
    this.pauses.recordSend(incarnationOf(endpoint));
    this.dependencies.limits.recordSend(endpoint);
  }

  retryAfterMs(
    service: string,
    suffice: (endpoints: readonly Endpoint[]) => boolean = (some) => some.length > 0,
  ): number {
    const { directory, limits, random } = this.dependencies;
    const endpoints = directory.findUsable(service);
    const remainingMs = (endpoint: Endpoint) => this.pauses.remainingMs(incarnationOf(endpoint));
    const pauseEndsMs = [...new Set([0, ...endpoints.map(remainingMs)])].sort((a, b) => a - b);
    const earliestMs =
      pauseEndsMs.find((endMs) =>
        suffice(endpoints.filter((endpoint) => remainingMs(endpoint) <= endMs)),
      ) ?? 0;
    const isLimited = (endpoint: Endpoint) =>
      this.pauses.mayUse(incarnationOf(endpoint)) && !limits.mayUse(endpoint);
    if (earliestMs === 0 && endpoints.some(isLimited)) {
      return limits.retryAfterMs(service);
    }
    return Math.max(minRetryAfterMs, earliestMs) + random.float() * returnSpreadMs;
  }

  /** Returns whether an endpoint wants no requests of this gateway now. */
  isPaused(endpoint: Endpoint): boolean {
    return this.pauses.remainingMs(incarnationOf(endpoint)) > 0;
  }

  /**
   * Takes over what an endpoint says of itself in an answer to a request.
   *
   * @param endpoint - Endpoint to which the request was sent.
   * @param answer - Its answer, which names this request or none.
   */
  recordAnswer(endpoint: Endpoint, answer: AnswerMetadata): void {
    const { directory, limits } = this.dependencies;
    const isOfEndpoint = answer.isEndpointsOwn || answer.requestId !== undefined;
    if (!isOfEndpoint) {
      return;
    }
    if (answer.isLeaving) {
      directory.recordLeaving(endpoint);
    }
    if (answer.isEndpointsOwn) {
      limits.recordAnswer(endpoint, answer.namedLimit);
    }
    if (answer.namedPause) {
      this.recordPause(endpoint, answer.namedPause);
    } else if (this.pauses.recordAnswer(incarnationOf(endpoint))) {
      this.log(LogLevel.Info, 'endpoint-pause-over', endpoint, {});
    }
  }

  /** Forgets an endpoint that is gone. */
  removeEndpoint(endpoint: Endpoint): void {
    this.pauses.remove(incarnationOf(endpoint));
    this.dependencies.limits.removeEndpoint(endpoint);
  }

  private recordPause(endpoint: Endpoint, { durationMs, text }: NamedPause): void {
    if (durationMs === undefined) {
      this.log(LogLevel.Warn, 'endpoint-pause-invalid', endpoint, { text });
      return;
    }
    if (durationMs === 0) {
      return;
    }
    const forMs = Math.min(durationMs, maxPauseMs);
    if (this.pauses.record(incarnationOf(endpoint), forMs)) {
      this.log(LogLevel.Info, 'endpoint-paused', endpoint, { forMs, text });
    }
  }

  private log(
    level: LogLevel,
    event: string,
    { id, address }: Endpoint,
    fields: Readonly<Record<string, string | number>>,
  ): void {
    this.dependencies.logger.log(level, event, { endpoint: id, address, ...fields });
  }
}
