import { performance } from 'node:perf_hooks';
import { maxTimerMs, type CancelTimer, type IClock, type ITimers } from '../common/clock.js';

/** Clock and timers of the operating system. */
export class SystemClock implements IClock, ITimers {
  monotonicMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }

  after(delayMs: number, action: () => void): CancelTimer {
    const timer = setTimeout(action, Math.min(delayMs, maxTimerMs));
    return () => clearTimeout(timer);
  }
}

/**
 * Waits for the given time.
 *
 * @param delayMs - Delay, in milliseconds.
 * @param signal - Ends the wait early when aborted.
 * @returns A promise that resolves after the delay or when the signal aborts, whichever is first.
 */
export function sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    const timer = setTimeout(finish, Math.min(delayMs, maxTimerMs));
    function finish(): void {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    }
    signal?.addEventListener('abort', finish);
  });
}
