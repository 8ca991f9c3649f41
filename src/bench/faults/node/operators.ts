import { performance } from 'node:perf_hooks';
import { sleep } from '../../../base/node/systemClock.js';
import type { Fleet } from '../../node/fleet.js';
import type { RevisionSample, RuleChangeRecord } from '../common/records.js';

/** Timeout of the wait until a change is in force on all entries, in milliseconds. */
const inForceTimeoutMs = 20_000;

/** Interval at which the entries' revisions are sampled, in milliseconds. */
const sampleIntervalMs = 100;

interface Status {
  readonly incarnation: string;
  readonly revision: number;
}

/** Simulates operators that change the rules concurrently, and samples the revisions in force. */
export class Operators {
  readonly changes: RuleChangeRecord[] = [];

  readonly samples: RevisionSample[] = [];

  private isStopped = false;

  private changeCount = 0;

  /**
   * @param fleet - The system under test.
   * @param rules - Text of the rule file; each change sets another weight in it.
   */
  constructor(
    private readonly fleet: Fleet,
    private readonly rules: string,
  ) {}

  /** Samples the revisions of all entries until `stop` is called. */
  async sampleRevisions(): Promise<void> {
    while (!this.isStopped) {
      await Promise.all(this.fleet.entries.map((_entry, index) => this.sampleRevision(index)));
      await sleep(sampleIntervalMs);
    }
  }

  /** Ends the sampling. */
  stop(): void {
    this.isStopped = true;
  }

  /** Lets two operators change the rules concurrently, from the same revision. */
  async race(): Promise<void> {
    const baseRevision = Math.max(1, ...this.samples.map((sample) => sample.revision));
    const results = await Promise.all([
      this.changeRules(0, baseRevision, 'coop'),
      this.changeRules(1, baseRevision, 'index'),
    ]);
    const accepted = results.filter((result) => result.status === 200);
    for (const result of accepted) {
      const inForceMs = await this.measureInForceMs(result.revision ?? 0);
      this.changes.push({ ...result, inForceMs });
    }
    this.changes.push(...results.filter((result) => result.status !== 200));
  }

  private async changeRules(
    entry: number,
    baseRevision: number,
    author: string,
  ): Promise<RuleChangeRecord> {
    this.changeCount += 1;
    const text = this.rules.replace('weight=60', `weight=${10 + this.changeCount}`);
    const id = `${author}-change-${this.changeCount}`;
    const atMs = Date.now();
    try {
      const { status, body } = await this.fleet.applyRules(entry, text, baseRevision, author, id);
      return { id, status, revision: body.revision, atMs, inForceMs: undefined };
    } catch {
      return { id, status: 0, revision: undefined, atMs, inForceMs: undefined };
    }
  }

  private async measureInForceMs(revision: number): Promise<number> {
    const startedMs = performance.now();
    while (performance.now() - startedMs < inForceTimeoutMs) {
      const revisions = await Promise.all(
        this.fleet.entries.map((_entry, index) => this.sampleRevision(index)),
      );
      if (
        revisions.every((entryRevision) => entryRevision !== undefined && entryRevision >= revision)
      ) {
        break;
      }
      await sleep(10);
    }
    return Math.round(performance.now() - startedMs);
  }

  private async sampleRevision(index: number): Promise<number | undefined> {
    try {
      const { revision, incarnation } = await this.fleet.getAdmin<Status>(index, 'status');
      const { name } = this.fleet.entries[index];
      this.samples.push({ entry: name, incarnation, revision, atMs: Date.now() });
      return revision;
    } catch {
      return undefined;
    }
  }
}
