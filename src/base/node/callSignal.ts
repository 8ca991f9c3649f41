import { maxTimerMs, type CancelTimer } from '../common/clock.js';

/**
 * Signal of a call that ends by a timeout or with other signals.
 *
 * `AbortSignal.any` doesn't keep the timeout signals that it combines from being collected as garbage in
 * Node.js 20, and their timers end with them.
 */
export class CallSignal {
  private readonly controller = new AbortController();

  private readonly cleanUps: CancelTimer[] = [];

  /**
   * @param timeoutMs - Time after which the call ends, in milliseconds.
   * @param sources - Signals that end it earlier.
   */
  constructor(timeoutMs: number, sources: readonly AbortSignal[]) {
    const expire = () => this.controller.abort(new Error(`no answer within ${timeoutMs} ms`));
    const timer = setTimeout(expire, Math.min(timeoutMs, maxTimerMs));
    this.cleanUps.push(() => clearTimeout(timer));
    sources.forEach((source) => this.follow(source));
  }

  /** Aborted once the call must end. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Cancels the timer and removes the listeners; call this once the call has ended. */
  close(): void {
    this.cleanUps.forEach((cleanUp) => cleanUp());
  }

  private follow(source: AbortSignal): void {
    const abort = () => this.controller.abort(source.reason);
    if (source.aborted) {
      abort();
      return;
    }
    source.addEventListener('abort', abort, { once: true });
    this.cleanUps.push(() => source.removeEventListener('abort', abort));
  }
}
