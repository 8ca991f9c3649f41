import { stackOf, toErrorMessage } from '../../../base/common/errors.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';

/** Kind of an error that no code has handled. */
export enum UnforeseenError {
  UncaughtException = 'uncaught-exception',
  UnhandledRejection = 'unhandled-rejection',
}

/** What is done about errors that no code has handled. */
export interface IUnforeseenErrorHandlers {
  /** Counts an error. */
  count(kind: UnforeseenError): void;
  /**
   * Stops the process as planned. After an exception its state may be inconsistent, but the work that others
   * have begun can be finished.
   */
  stop(): void;
}

/**
 * Logs and counts errors that no code has handled, and stops the process as planned after an exception. A
 * rejected promise leaves only its own task undone.
 *
 * @param logger - Receives a line with the stack of each error.
 * @param handlers - Counts the error and stops the process.
 */
export function handleUnforeseenErrors(logger: ILogger, handlers: IUnforeseenErrorHandlers): void {
  const record = (kind: UnforeseenError, thrown: unknown) => {
    handlers.count(kind);
    const fields = { reason: toErrorMessage(thrown), stack: stackOf(thrown) };
    logger.log(LogLevel.Error, kind, fields);
  };
  process.on('uncaughtException', (err) => {
    record(UnforeseenError.UncaughtException, err);
    handlers.stop();
  });
  process.on('unhandledRejection', (reason) => {
    record(UnforeseenError.UnhandledRejection, reason);
  });
}

/** Time after the grace period of a stop by which the process must have ended, in milliseconds. */
const stopSlackMs = 2_000;

/**
 * Ends the process if a stop that began by itself hangs, since no operator waits for its end.
 *
 * @param drainMs - Grace period of the stop, in milliseconds.
 * @param status - Exit status.
 */
export function endAfterGrace(drainMs: number, status: number): void {
  setTimeout(() => process.exit(status), drainMs + stopSlackMs).unref();
}
