import { appendFileSync } from 'node:fs';
import type { HistoryEvent } from '../common/historyEvent.js';

/** Appends events to a file of JSON lines, so that they outlive a killed stand-in. */
export class HistoryWriter {
  /**
   * @param path - File to append to, or undefined to record nothing.
   * @param endpoint - Name of the recording endpoint.
   */
  constructor(
    private readonly path: string | undefined,
    private readonly endpoint: string,
  ) {}

  /** Records an event at the present time. */
  record(event: Omit<HistoryEvent, 'atMs' | 'endpoint'>): void {
    if (this.path !== undefined) {
      const line = JSON.stringify({ ...event, atMs: Date.now(), endpoint: this.endpoint });
      appendFileSync(this.path, `${line}\n`);
    }
  }
}
