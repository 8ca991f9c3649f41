import { appendFileSync } from 'node:fs';
import type { HistoryEvent } from '../common/historyEvent.js';

/**
 * Appends each event to a file of JSON lines immediately, so that no event is lost if the process is
 * killed.
 */
export class HistoryWriter {
  /**
   * @param path - File to append to, or undefined to record nothing.
   * @param endpoint - Name of the endpoint that records the events.
   */
  constructor(
    private readonly path: string | undefined,
    private readonly endpoint: string,
  ) {}

  /** Records an event with the current time. */
  record(event: Omit<HistoryEvent, 'atMs' | 'endpoint'>): void {
    if (this.path !== undefined) {
      const line = JSON.stringify({ ...event, atMs: Date.now(), endpoint: this.endpoint });
      appendFileSync(this.path, `${line}\n`);
    }
  }
}
