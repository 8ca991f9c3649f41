import type { CancelTimer, IClock, ITimers } from '../../base/common/clock.js';
import { LogLevel, type ILogger } from '../../base/common/logger.js';
import type { IStoreEra } from '../../services/objects/common/objects.js';
import { restoreMs } from '../../services/objects/common/restorePeriod.js';

/** Numbers, counted since the start of the process, of what was done because the store came back. */
export interface RestoreCounts {
  /** Lists that were read anew. */
  readonly listed: number;
  readonly claimsWrittenAgain: number;
  readonly rulesWrittenAgain: number;
  /** Models, services and organisations. */
  readonly recordsWrittenAgain: number;
  readonly placementsWrittenAgain: number;
  /** Accepted changes and revisions of the rules that nobody can write again. */
  readonly rulesGivenUp: number;
}

/** Time after a change of era at which the report is written, in milliseconds. */
const reportDelayMs = restoreMs + 1_000;

/** Writes one log line for each return of the store from an older copy, once what it forgot is written again. */
export class EraReport {
  private cancelTimer: CancelTimer | undefined;

  private pending: { readonly era: number; readonly before: RestoreCounts } | undefined;

  /**
   * @param store - Tells of changes of era. Must be observed before the components that are counted.
   * @param counts - Returns the current counts.
   * @param clock - Source of timers.
   * @param logger - Receives the lines.
   */
  constructor(
    store: IStoreEra,
    private readonly counts: () => RestoreCounts,
    private readonly clock: IClock & ITimers,
    private readonly logger: ILogger,
  ) {
    store.onDidChangeEra(({ era }) => {
      this.close();
      this.pending = { era, before: this.counts() };
      this.cancelTimer = this.clock.after(reportDelayMs, () => this.write());
    });
  }

  /** Writes the line of an era that is still being restored. */
  close(): void {
    this.cancelTimer?.();
    this.write();
  }

  private write(): void {
    if (this.pending === undefined) {
      return;
    }
    const { era, before } = this.pending;
    this.pending = undefined;
    const now = this.counts();
    this.logger.log(LogLevel.Info, 'store-restored', {
      era,
      listed: now.listed - before.listed,
      claimsWrittenAgain: now.claimsWrittenAgain - before.claimsWrittenAgain,
      recordsWrittenAgain: now.recordsWrittenAgain - before.recordsWrittenAgain,
      rulesWrittenAgain: now.rulesWrittenAgain - before.rulesWrittenAgain,
      placementsWrittenAgain: now.placementsWrittenAgain - before.placementsWrittenAgain,
      rulesGivenUp: now.rulesGivenUp - before.rulesGivenUp,
    });
  }
}
