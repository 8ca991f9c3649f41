import { SeededRandom } from '../../../base/common/random.js';
import { sleep } from '../../../base/node/systemClock.js';
import { RunState } from '../../../services/problem/common/problem.js';
import { callService, chat, type CallResult } from '../../node/caller.js';
import type { Fleet, FleetModel } from '../../node/fleet.js';
import { CallEnd, CallKind, type CallRecord } from '../common/records.js';

/** Maximum number of attempts at a submission; an attempt may send it through two entries. */
const maxAttempts = 8;

/** Pause before a submission is sent again, in milliseconds. */
const retryPauseMs = 300;

/** Pause between two calls of one worker, in milliseconds. */
const thinkTimeMs = 20;

/** Simulates callers that send chats, lookups and submissions until stopped. */
export class Workload {
  readonly calls: CallRecord[] = [];

  private isStopped = false;

  private callCount = 0;

  /**
   * @param fleet - The system under test.
   * @param model - Model of the chats.
   * @param seed - Seed of the workers' random choices.
   */
  constructor(
    private readonly fleet: Fleet,
    private readonly model: FleetModel,
    private readonly seed: number,
  ) {}

  /**
   * Runs workers until `stop` is called.
   *
   * @param workers - Number of workers.
   * @returns A promise that resolves when all workers have ended.
   */
  async run(workers: number): Promise<void> {
    const workerLoops = Array.from({ length: workers }, (_unused, index) => this.runWorker(index));
    await Promise.all(workerLoops);
  }

  /** Ends the workers after the calls in progress. */
  stop(): void {
    this.isStopped = true;
  }

  /**
   * Makes one chat call and records it.
   *
   * @param entry - Index of the entry.
   * @param content - Text of the user message.
   * @param key - Idempotency key of a submission; undefined for a lookup.
   * @returns The record of the call.
   */
  async chat(entry: number, content: string, key?: string): Promise<CallRecord> {
    const kind = key === undefined ? CallKind.Chat : CallKind.ChatSubmission;
    const { name, layers } = this.model;
    return this.recordCall(kind, entry, key, (url) =>
      chat({
        url,
        organisation: key === undefined && this.callCount % 2 === 0 ? 'index' : 'coop',
        model: name,
        layers,
        content,
        maxTokens: 24,
        idempotencyKey: key,
        timeoutMs: 20_000,
      }),
    );
  }

  private async runWorker(index: number): Promise<void> {
    const random = new SeededRandom(this.seed * 1_000 + index);
    while (!this.isStopped) {
      this.callCount += 1;
      const entry = random.integer(0, this.fleet.entries.length - 1);
      const callName = `${this.seed}-${index}-${this.callCount}`;
      const kind = random.pick([
        CallKind.Chat,
        CallKind.Chat,
        CallKind.Lookup,
        CallKind.Submission,
        CallKind.Submission,
        CallKind.ChatSubmission,
      ]);
      if (kind === CallKind.Chat) {
        await this.chat(entry, `question ${callName}`);
      } else if (kind === CallKind.Lookup) {
        await this.callPlainService(entry, `/lookup/${callName}`, undefined);
      } else {
        await this.submit(kind, entry, callName, random.integer(0, 3) === 0);
      }
      await sleep(thinkTimeMs);
    }
  }

  /** Sends a submission until its outcome is known; optionally through two entries concurrently. */
  private async submit(
    kind: CallKind,
    entry: number,
    callName: string,
    usesTwoEntries: boolean,
  ): Promise<void> {
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      const entryIndex = entry + attempt;
      const calls = [
        this.send(kind, entryIndex, callName),
        ...(usesTwoEntries ? [this.send(kind, entryIndex + 1, callName)] : []),
      ];
      const results = await Promise.all(calls);
      const isOutcomeKnown = results.some(
        ({ end, run }) => end === CallEnd.Complete || run === RunState.Ran,
      );
      if (isOutcomeKnown || this.isStopped) {
        return;
      }
      await sleep(retryPauseMs);
    }
  }

  private send(kind: CallKind, entry: number, callName: string): Promise<CallRecord> {
    return kind === CallKind.Submission
      ? this.callPlainService(entry, `/book/${callName}`, callName)
      : this.chat(entry, `draft ${callName}`, callName);
  }

  private callPlainService(
    entry: number,
    path: string,
    key: string | undefined,
  ): Promise<CallRecord> {
    const kind = key === undefined ? CallKind.Lookup : CallKind.Submission;
    return this.recordCall(kind, entry, key, (url) =>
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

  private async recordCall(
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
