import { SeededRandom } from '../../../base/common/random.js';
import { sleep } from '../../../base/node/systemClock.js';
import { RunState } from '../../../services/problem/common/problem.js';
import { callService, chat, type CallResult } from '../../node/caller.js';
import type { Fleet, FleetModel } from '../../node/fleet.js';
import { CallEnd, CallKind, type CallRecord } from '../common/records.js';

/** Most calls with one idempotency key. */
const maxTries = 8;

/** Pause before a submission is sent again, in milliseconds. */
const retryPauseMs = 300;

/** Pause between two calls of one worker, in milliseconds. */
const thinkMs = 20;

/** Callers that keep sending chats, lookups and submissions. */
export class Workload {
  readonly calls: CallRecord[] = [];

  private stopped = false;

  private count = 0;

  /**
   * @param fleet - The system under test.
   * @param model - Model of the chats.
   * @param seed - Seed of the workers' choices.
   */
  constructor(
    private readonly fleet: Fleet,
    private readonly model: FleetModel,
    private readonly seed: number,
  ) {}

  /**
   * Runs workers until `stop`.
   *
   * @param workers - How many.
   * @returns A promise that resolves when all ended.
   */
  async run(workers: number): Promise<void> {
    const all = Array.from({ length: workers }, (_unused, index) => this.work(index));
    await Promise.all(all);
  }

  /** Ends the workers after their present calls. */
  stop(): void {
    this.stopped = true;
  }

  /**
   * Makes one chat call and records it.
   *
   * @param entry - Index of the entry.
   * @param content - What is asked.
   * @param key - Idempotency key of a submission.
   * @returns The record.
   */
  async chat(entry: number, content: string, key?: string): Promise<CallRecord> {
    const kind = key === undefined ? CallKind.Chat : CallKind.ChatSubmission;
    const { name, layers } = this.model;
    return this.record(kind, entry, key, (url) =>
      chat({
        url,
        organisation: key === undefined && this.count % 2 === 0 ? 'index' : 'coop',
        model: name,
        layers,
        content,
        maxTokens: 24,
        idempotencyKey: key,
        timeoutMs: 20_000,
      }),
    );
  }

  private async work(index: number): Promise<void> {
    const random = new SeededRandom(this.seed * 1_000 + index);
    while (!this.stopped) {
      this.count += 1;
      const entry = random.integer(0, this.fleet.entries.length - 1);
      const name = `${this.seed}-${index}-${this.count}`;
      const kind = random.pick([
        CallKind.Chat,
        CallKind.Chat,
        CallKind.Lookup,
        CallKind.Submission,
        CallKind.Submission,
        CallKind.ChatSubmission,
      ]);
      if (kind === CallKind.Chat) {
        await this.chat(entry, `question ${name}`);
      } else if (kind === CallKind.Lookup) {
        await this.service(entry, `/lookup/${name}`, undefined);
      } else {
        await this.submit(kind, entry, name, random.integer(0, 3) === 0);
      }
      await sleep(thinkMs);
    }
  }

  /** Sends a submission until its outcome is known, sometimes through two entries at once. */
  private async submit(kind: CallKind, entry: number, name: string, twice: boolean): Promise<void> {
    for (let tries = 0; tries < maxTries; tries += 1) {
      const at = entry + tries;
      const calls = [this.send(kind, at, name), ...(twice ? [this.send(kind, at + 1, name)] : [])];
      const results = await Promise.all(calls);
      const known = results.some(({ end, run }) => end === CallEnd.Whole || run === RunState.Ran);
      if (known || this.stopped) {
        return;
      }
      await sleep(retryPauseMs);
    }
  }

  private send(kind: CallKind, entry: number, name: string): Promise<CallRecord> {
    return kind === CallKind.Submission
      ? this.service(entry, `/book/${name}`, name)
      : this.chat(entry, `draft ${name}`, name);
  }

  private service(entry: number, path: string, key: string | undefined): Promise<CallRecord> {
    const kind = key === undefined ? CallKind.Lookup : CallKind.Submission;
    return this.record(kind, entry, key, (url) =>
      callService({
        url,
        organisation: 'coop',
        service: 'booking',
        path,
        idempotencyKey: key,
        timeoutMs: 10_000,
      }),
    );
  }

  private async record(
    kind: CallKind,
    entry: number,
    key: string | undefined,
    call: (url: string) => Promise<CallResult>,
  ): Promise<CallRecord> {
    const index = entry % this.fleet.entries.length;
    const { name } = this.fleet.entries[index];
    const startMs = Date.now();
    const { end, run, status, detail } = await call(this.fleet.url(index));
    const record = { kind, entry: name, key, startMs, endMs: Date.now(), end, run, status, detail };
    this.calls.push(record);
    return record;
  }
}
