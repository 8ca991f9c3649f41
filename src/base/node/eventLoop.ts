import { setImmediate } from 'node:timers/promises';

/**
 * Waits until the event loop has polled the sockets again. After a busy time, timers run before what has
 * arrived meanwhile is read.
 */
export async function waitForNextPoll(): Promise<void> {
  await setImmediate(); // may be still in the iteration of the event loop that called this
  await setImmediate();
}
