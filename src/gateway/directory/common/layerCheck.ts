import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { EngineProfile } from '../../config/common/configSnapshot.js';
import { incarnationOf, type Endpoint } from './endpoint.js';

/**
 * Leaves out endpoints that state layers which they can't hold. Which these are is known only with a
 * configuration, and another one may change it.
 */
export class LayerCheck {
  /** Fault of each incarnation that is left out. */
  private readonly faults = new Map<string, string>();

  /** @param logger - Receives each endpoint that is left out. */
  constructor(private readonly logger: ILogger) {}

  /**
   * Returns the endpoints whose layers the model and their card allow.
   *
   * @param endpoints - Endpoints of the model's service.
   * @param engine - Current profile of the model.
   */
  filter(endpoints: readonly Endpoint[], engine: EngineProfile): readonly Endpoint[] {
    return endpoints.filter((endpoint) => {
      const fault = findLayerFault(endpoint, engine);
      if (fault !== undefined || this.faults.size > 0) {
        this.record(endpoint, fault);
      }
      return fault === undefined;
    });
  }

  /** Forgets an endpoint that is gone. */
  remove(endpoint: Endpoint): void {
    this.faults.delete(incarnationOf(endpoint));
  }

  private record(endpoint: Endpoint, fault: string | undefined): void {
    const incarnation = incarnationOf(endpoint);
    if (fault === undefined) {
      this.faults.delete(incarnation);
    } else if (this.faults.get(incarnation) !== fault) {
      this.faults.set(incarnation, fault);
      const { id, address } = endpoint;
      this.logger.log(LogLevel.Warn, 'endpoint-layers-impossible', {
        endpoint: id,
        address,
        fault,
      });
    }
  }
}

/** Returns why an endpoint can't hold the layers that it states; undefined if it can. */
function findLayerFault(
  { layers, card }: Endpoint,
  { layerCount, layerMb, cards }: EngineProfile,
): string | undefined {
  if (layers === undefined) {
    return undefined;
  }
  if (layers.to > layerCount) {
    return `they end at ${layers.to}, those of the model at ${layerCount}`;
  }
  const memoryMb = cards.get(card ?? '')?.memoryMb;
  const neededMb = (layers.to - layers.from) * layerMb;
  return memoryMb !== undefined && neededMb > memoryMb
    ? `they need ${neededMb} MB of memory, the card has ${memoryMb} MB`
    : undefined;
}
