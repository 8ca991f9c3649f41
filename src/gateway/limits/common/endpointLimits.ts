import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import { incarnationOf, type Endpoint } from '../../directory/common/endpoint.js';
import type { NamedLimit } from '../../relay/common/dialect.js';

/** Rate limits that endpoints in need name in their answers. */
export class EndpointLimits {
  /** Limit that each incarnation names, in requests per second. */
  private readonly perSecond = new Map<string, number>();

  /** @param logger - Receives limits that are named, changed or lifted, and those that are no rate. */
  constructor(private readonly logger: ILogger) {}

  /** Number of endpoints that name a limit. */
  get count(): number {
    return this.perSecond.size;
  }

  /**
   * Takes over what an answer says of the limit of its endpoint.
   *
   * @param endpoint - Endpoint that answered.
   * @param named - Limit that it names; undefined if it names none.
   */
  recordAnswer(endpoint: Endpoint, named: NamedLimit | undefined): void {
    const incarnation = incarnationOf(endpoint);
    const previous = this.perSecond.get(incarnation);
    const { id, address } = endpoint;
    if (named === undefined) {
      if (this.perSecond.delete(incarnation)) {
        this.logger.log(LogLevel.Info, 'endpoint-limit-lifted', {
          endpoint: id,
          address,
          previous,
        });
      }
      return;
    }
    const { perSecond, text } = named;
    if (perSecond === undefined) {
      this.logger.log(LogLevel.Warn, 'endpoint-limit-invalid', { endpoint: id, address, text });
    } else if (perSecond !== previous) {
      this.perSecond.set(incarnation, perSecond);
      this.logger.log(LogLevel.Info, 'endpoint-limited', {
        endpoint: id,
        address,
        perSecond,
        previous,
      });
    }
  }

  /** Removes what is known of an endpoint that is gone. */
  removeEndpoint(endpoint: Endpoint): void {
    this.perSecond.delete(incarnationOf(endpoint));
  }
}
