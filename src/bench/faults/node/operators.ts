import { performance } from 'node:perf_hooks';
import { sleep } from '../../../base/node/systemClock.js';
import type { Fleet } from '../../node/fleet.js';
import type { RevisionSample, RuleChangeRecord } from '../common/records.js';

/** Time after which a change that is not in force everywhere is given up, in milliseconds. */
const inForceLimitMs = 20_000;

/** Interval of the samples of the entries' revisions, in milliseconds. */
const sampleMs = 100;

interface Status {
  readonly incarnation: string;
  readonly revision: number;
}

/** Operators that change the rules, also against each other, and watch them come into force. */
export class Operators {
  readonly changes: RuleChangeRecord[] = [];

  readonly samples: RevisionSample[] = [];

  private stopped = false;

  private count = 0;

  /**
   * @param fleet - The system under test.
   * @param rules - Rule file that the changes vary.
   */
  constructor(
    private readonly fleet: Fleet,
    private readonly rules: string,
  ) {}

  /** Samples the revisions of all entries until `stop`. */
  async sample(): Promise<void> {
    while (!this.stopped) {
      await Promise.all(this.fleet.entries.map((_entry, index) => this.sampleOne(index)));
      await sleep(sampleMs);
    }
  }

  /** Ends the samples. */
  stop(): void {
    this.stopped = true;
  }

  /** Lets two operators change the rules at once, from the same revision. */
  async race(): Promise<void> {
    const base = Math.max(1, ...this.samples.map((sample) => sample.revision));
    const results = await Promise.all([
      this.change(0, base, 'coop'),
      this.change(1, base, 'index'),
    ]);
    const accepted = results.filter((result) => result.status === 200);
    for (const result of accepted) {
      const inForceMs = await this.timeToForce(result.revision ?? 0);
      this.changes.push({ ...result, inForceMs });
    }
    this.changes.push(...results.filter((result) => result.status !== 200));
  }

  private async change(entry: number, base: number, by: string): Promise<RuleChangeRecord> {
    this.count += 1;
    const text = this.rules.replace('weight=60', `weight=${10 + this.count}`);
    const id = `${by}-change-${this.count}`;
    const atMs = Date.now();
    try {
      const { status, body } = await this.fleet.applyRules(entry, text, base, by, id);
      return { id, status, revision: body.revision, atMs, inForceMs: undefined };
    } catch {
      return { id, status: 0, revision: undefined, atMs, inForceMs: undefined };
    }
  }

  private async timeToForce(revision: number): Promise<number> {
    const startedMs = performance.now();
    while (performance.now() - startedMs < inForceLimitMs) {
      const revisions = await Promise.all(
        this.fleet.entries.map((_entry, index) => this.sampleOne(index)),
      );
      if (revisions.every((one) => one !== undefined && one >= revision)) {
        break;
      }
      await sleep(10);
    }
    return Math.round(performance.now() - startedMs);
  }

  private async sampleOne(index: number): Promise<number | undefined> {
    try {
      const { revision, incarnation } = await this.fleet.admin<Status>(index, 'status');
      const { name } = this.fleet.entries[index];
      this.samples.push({ entry: name, incarnation, revision, atMs: Date.now() });
      return revision;
    } catch {
      return undefined;
    }
  }
}
