import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import { sleep } from '../../../base/node/systemClock.js';
import {
  absentVersion,
  ObjectKind,
  type IObjectStore,
  type IStoreEra,
} from '../../../services/objects/common/objects.js';
import type { PeerAddress } from '../common/peerAddress.js';

/** Delay before a failed registration is retried, in milliseconds. */
const retryDelayMs = 1_000;

/** Writes the address of this gateway to the store, where its peers read it. */
export class PeerRegistration {
  private readonly abortController = new AbortController();

  /** Number of calls of `register`; a later call replaces the one in progress. */
  private callCount = 0;

  /**
   * @param store - Object store of the platform.
   * @param logger - Receives a line for each completed registration.
   */
  constructor(
    private readonly store: IObjectStore & IStoreEra,
    private readonly logger: ILogger,
  ) {}

  /**
   * Registers an address unless the store has it. Retries until it succeeds, the method is called again or
   * the registration is closed.
   *
   * @param self - Instance name and address of this gateway.
   */
  async register({ instance, host, port }: PeerAddress): Promise<void> {
    this.callCount += 1;
    const call = this.callCount;
    const { signal } = this.abortController;
    while (!signal.aborted && call === this.callCount) {
      const stored = await this.store.get<PeerAddress>(ObjectKind.Gateways, instance);
      if (stored.isOk()) {
        const isSame = stored.value?.value.host === host && stored.value.value.port === port;
        const version = stored.value?.version ?? absentVersion;
        const entry = { host, port };
        if (
          isSame ||
          (await this.store.put(ObjectKind.Gateways, instance, entry, version)).isOk()
        ) {
          this.logger.log(LogLevel.Info, 'registered', { host, port, era: this.store.era });
          return;
        }
      }
      await sleep(retryDelayMs, signal);
    }
  }

  /** Stops retrying. */
  close(): void {
    this.abortController.abort();
  }
}
