import { Emitter } from '../../../base/common/event.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { ConfigSnapshot } from './configSnapshot.js';
import { RouteTable } from './routeTable.js';

/** Holds the newest configuration that this process has seen; its version never decreases. */
export class ConfigHolder {
  private currentTable: RouteTable | undefined;

  private readonly changes = new Emitter<RouteTable>();

  /** Fires after a newer configuration was applied. */
  readonly onDidChange = this.changes.event;

  /** @param logger - Receives a line for each version that is applied or is older than the current one. */
  constructor(private readonly logger: ILogger) {}

  /** Current routes; undefined until a configuration was read. */
  get current(): RouteTable | undefined {
    return this.currentTable;
  }

  /**
   * Applies a configuration if its version is higher than the current one.
   *
   * @param config - Configuration read from the store.
   * @returns Whether it was applied.
   */
  applyIfNewer(config: ConfigSnapshot): boolean {
    const currentVersion = this.currentTable?.config.version;
    if (currentVersion !== undefined && config.version <= currentVersion) {
      if (config.version < currentVersion) {
        this.logger.log(LogLevel.Warn, 'config-stale', {
          version: config.version,
          inForce: currentVersion,
        });
      }
      return false;
    }
    this.currentTable = new RouteTable(config);
    this.logger.log(LogLevel.Info, 'config-in-force', {
      version: config.version,
      previous: currentVersion,
      routes: config.routes.length,
      services: config.services.size,
      keys: config.organisationByKey?.size,
    });
    for (const { name, engineFault } of config.services.values()) {
      if (engineFault !== undefined) {
        const fields = { version: config.version, service: name, fault: engineFault };
        this.logger.log(LogLevel.Error, 'config-engine-invalid', fields);
      }
    }
    this.changes.fire(this.currentTable);
    return true;
  }

  /** Removes every listener. */
  close(): void {
    this.changes.close();
  }
}
