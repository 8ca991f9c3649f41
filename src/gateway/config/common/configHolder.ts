import { Emitter } from '../../../base/common/event.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { ConfigSnapshot } from './configSnapshot.js';
import { RouteTable } from './routeTable.js';

/** The newest configuration that this process has seen; its version never goes back. */
export class ConfigHolder {
  private table: RouteTable | undefined;

  private readonly changes = new Emitter<RouteTable>();

  /** Fires after a newer configuration came into force. */
  readonly onDidChange = this.changes.event;

  /** @param logger - Receives one line for each version offered. */
  constructor(private readonly logger: ILogger) {}

  /** Routes in force; undefined until a configuration was read. */
  get current(): RouteTable | undefined {
    return this.table;
  }

  /**
   * Puts a configuration in force unless it is older than the current one.
   *
   * @param config - What the store holds.
   * @returns Whether it came into force.
   */
  applyIfNewer(config: ConfigSnapshot): boolean {
    const inForce = this.table?.config.version;
    if (inForce !== undefined && config.version <= inForce) {
      if (config.version < inForce) {
        this.logger.log(LogLevel.Warn, 'config-stale', { version: config.version, inForce });
      }
      return false;
    }
    this.table = new RouteTable(config);
    this.logger.log(LogLevel.Info, 'config-in-force', {
      version: config.version,
      previous: inForce,
      routes: config.routes.length,
      services: config.services.size,
      keys: config.organisationByKey?.size,
    });
    this.changes.fire(this.table);
    return true;
  }

  /** Removes every listener. */
  close(): void {
    this.changes.close();
  }
}
