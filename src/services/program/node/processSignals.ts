/** What a running program does on the signals of its operator. */
export interface ISignalHandlers {
  /** Stops as planned; called for each SIGTERM and SIGINT. */
  stop(): void;
  /** Reads the settings again; called for each SIGHUP. */
  reload(): void;
}

/**
 * Handles the signals of an operator from the first statement of a program on.
 *
 * Before the program takes over, nothing has begun: a stop ends the process at once, and a SIGHUP, which would
 * end it by default, is remembered.
 */
export class ProcessSignals {
  private handlers: ISignalHandlers | undefined;

  private isReloadPending = false;

  /** @param process - Process whose signals are handled. */
  constructor(private readonly process: NodeJS.Process) {
    process.on('SIGTERM', () => this.stop());
    process.on('SIGINT', () => this.stop());
    process.on('SIGHUP', () => this.reload());
  }

  /**
   * Passes signals on to a program from now on, also a SIGHUP that came before.
   *
   * @param handlers - What the program does.
   */
  takeOver(handlers: ISignalHandlers): void {
    this.handlers = handlers;
    if (this.isReloadPending) {
      this.isReloadPending = false;
      handlers.reload();
    }
  }

  private stop(): void {
    if (this.handlers === undefined) {
      this.process.exit(0);
    } else {
      this.handlers.stop();
    }
  }

  private reload(): void {
    if (this.handlers === undefined) {
      this.isReloadPending = true;
    } else {
      this.handlers.reload();
    }
  }
}

/** Signals of this process; programs import this module first, so that no signal ends them meanwhile. */
export const processSignals = new ProcessSignals(process);
