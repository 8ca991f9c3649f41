import type { IClock } from '../../../base/common/clock.js';
import type { ILogger } from '../../../base/common/logger.js';
import { EndpointHealth } from '../../../services/ejection/common/endpointHealth.js';
import {
  SequentialTest,
  type SequentialTestOptions,
} from '../../../services/ejection/common/failureDetector.js';
import type { ConfigHolder } from '../../config/common/configHolder.js';
import { incarnationOf, type Endpoint } from '../../directory/common/endpoint.js';
import type { EndpointDirectory } from '../../directory/common/endpointDirectory.js';

const ejectionOptions = { firstEjectionMs: 2_000, maxEjectionMs: 8_000, maxEjectedFraction: 0.5 };

/** Test of plain endpoints; a healthy one fails about one lookup in seven. */
export const plainFailureTest: SequentialTestOptions = {
  baseRate: 0.15,
  minFailures: 4,
  criticalValue: 3,
  maxExpectedFailures: 6,
};

/** Number of failed streams in a row after which a model endpoint is ejected. */
export const engineFailuresBeforeEjection = 3;

/** Test of model endpoints; a healthy one fails about one stream in fifty. */
export const engineFailureTest: SequentialTestOptions = {
  baseRate: 0.02,
  minFailures: engineFailuresBeforeEjection,
  criticalValue: 5,
  maxExpectedFailures: 2,
};

/**
 * Endpoints that this gateway avoids because they keep failing requests. A failing endpoint is often
 * quicker to answer than a sound one, so that it would attract more and more requests.
 */
export class EndpointEjections {
  private readonly ejectedIncarnations = new Set<string>();

  /** Records successes and failures by incarnation. */
  readonly health: EndpointHealth;

  /**
   * @param test - Parameters of the test that tells failing endpoints.
   * @param config - Names the services.
   * @param directory - Knows the endpoints of each service.
   * @param clock - Source of time.
   * @param logger - Receives ejections and their ends.
   */
  constructor(
    test: SequentialTestOptions,
    private readonly config: ConfigHolder,
    private readonly directory: EndpointDirectory,
    clock: IClock,
    logger: ILogger,
  ) {
    this.health = new EndpointHealth(
      ejectionOptions,
      () => new SequentialTest(test),
      (incarnation) => this.incarnationsInServiceOf(incarnation),
      clock,
      logger,
    );
    this.health.onDidChange(({ endpoint, ejected }) => {
      if (ejected) {
        this.ejectedIncarnations.add(endpoint);
      } else {
        this.ejectedIncarnations.delete(endpoint);
      }
    });
  }

  /**
   * Returns whether an incarnation is avoided at present.
   *
   * @param incarnation - Key of the incarnation.
   */
  isEjected(incarnation: string): boolean {
    return this.ejectedIncarnations.has(incarnation);
  }

  /** Ends expired ejections; call this a few times a second. */
  endExpired(): void {
    this.health.endExpiredEjections();
  }

  /** Forgets an endpoint that was removed. */
  forget(endpoint: Endpoint): void {
    this.health.forget(incarnationOf(endpoint));
    this.ejectedIncarnations.delete(incarnationOf(endpoint));
  }

  private incarnationsInServiceOf(incarnation: string): readonly string[] {
    for (const service of this.config.current?.config.services.keys() ?? []) {
      const incarnations = this.directory.findByService(service).map(incarnationOf);
      if (incarnations.includes(incarnation)) {
        return incarnations;
      }
    }
    return [incarnation];
  }
}
