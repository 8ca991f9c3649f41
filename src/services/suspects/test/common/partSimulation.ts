import { SeededRandom, type IRandom } from '../../../../base/common/random.js';
import { CrashSuspects, Verdict, type SuspicionPolicy } from '../../common/crashSuspects.js';
import { partSubject } from '../../common/subject.js';

/** What happens to the simulated endpoints. */
export interface PartScenario {
  readonly seed: number;
  readonly policy: SuspicionPolicy;
  readonly gateways: number;
  readonly endpoints: number;
  readonly promptsPerSecond: number;
  /** Number of first parts that prompts share, the popular ones more often. */
  readonly firstParts: number;
  /** Time for which prompts are sent before anything crashes, in milliseconds. */
  readonly warmUpMs: number;
  /** Number of endpoints that crash of other causes at once, every five seconds. */
  readonly endpointsPerWave: number;
  /** Share of the prompts that hold a deadly part. */
  readonly badShare: number;
}

/** What came of it. */
export interface PartOutcome {
  readonly soundPrompts: number;
  /** Number of sound prompts that were refused at a gateway. */
  readonly refusedPrompts: number;
  /** Number of first parts that any gateway quarantined. */
  readonly quarantinedFirstParts: number;
  readonly crashesByPrompts: number;
  /** Number of bad prompts that reached an endpoint later than three seconds after the fifth crash. */
  readonly lateRuns: number;
}

interface Run {
  readonly gateway: number;
  readonly endpoint: number;
  readonly subjects: readonly string[];
  readonly isBad: boolean;
  /** When it is past its start, or crashes its endpoint. */
  readonly decidedMs: number;
  readonly isRepeated: boolean;
}

const tickMs = 50;
const gossipMs = 150;
const waveMs = 5_000;
const downMs = 3_000;
const troubleMs = 30_000;
const zipfSkew = 0.5;
const deadly = partSubject('deadly');

/** Simulates gateways that suspect parts of prompts, with endpoints that crash. */
export class PartSimulation {
  private readonly random: IRandom;

  private readonly gateways: readonly CrashSuspects[];

  private readonly upFromMs: number[];

  private readonly incarnations: number[];

  private readonly weights: readonly number[];

  private runs: Run[] = [];

  private nowMs = 0;

  private promptCount = 0;

  private readonly crashTimesMs: number[] = [];

  private readonly quarantined = new Set<string>();

  private readonly counts = { sound: 0, refused: 0, late: 0 };

  /** @param scenario - What happens. */
  constructor(private readonly scenario: PartScenario) {
    const { seed, gateways, endpoints, policy, firstParts } = scenario;
    this.random = new SeededRandom(seed);
    this.gateways = Array.from(
      { length: gateways },
      (_unused, index) => new CrashSuspects(`gw-${index}`, policy),
    );
    this.upFromMs = Array.from({ length: endpoints }, () => 0);
    this.incarnations = Array.from({ length: endpoints }, () => 0);
    this.weights = Array.from({ length: firstParts }, (_unused, rank) => (rank + 1) ** -zipfSkew);
  }

  /** Runs the simulation to its end. */
  run(): PartOutcome {
    const { warmUpMs, promptsPerSecond } = this.scenario;
    const endMs = warmUpMs + troubleMs;
    for (; this.nowMs < endMs; this.nowMs += tickMs) {
      const arrivals = (promptsPerSecond * tickMs) / 1_000;
      const count = Math.floor(arrivals) + (this.random.float() < arrivals % 1 ? 1 : 0);
      Array.from({ length: count }).forEach(() => this.arrive());
      this.decideRuns();
      if (this.nowMs >= warmUpMs && (this.nowMs - warmUpMs) % waveMs === 0) {
        this.crashWave();
      }
      if (this.nowMs % gossipMs === 0) {
        this.gossip();
      }
    }
    return {
      soundPrompts: this.counts.sound,
      refusedPrompts: this.counts.refused,
      quarantinedFirstParts: this.quarantined.size,
      crashesByPrompts: this.crashTimesMs.length,
      lateRuns: this.counts.late,
    };
  }

  private arrive(): void {
    const isTrouble = this.nowMs >= this.scenario.warmUpMs;
    const isBad = isTrouble && this.random.float() < this.scenario.badShare;
    this.promptCount += 1;
    const first = partSubject(`first-${this.pickFirstPart()}`);
    const subjects = [`request-${this.promptCount}`, first, ...(isBad ? [deadly] : [])];
    this.send(this.pick(this.gateways.length), subjects, isBad, false);
  }

  private send(
    gateway: number,
    subjects: readonly string[],
    isBad: boolean,
    isRepeated: boolean,
  ): void {
    const suspects = this.gateways[gateway];
    const isRefused = subjects.some((each) => suspects.verdict(each) === Verdict.Quarantined);
    if (!isBad && !isRepeated) {
      this.counts.sound += 1;
      this.counts.refused += isRefused ? 1 : 0;
    }
    const usable = this.upFromMs.flatMap((upMs, index) => (upMs <= this.nowMs ? [index] : []));
    if (isRefused || usable.length === 0) {
      return;
    }
    const fifthMs = this.crashTimesMs.at(4);
    if (isBad && fifthMs !== undefined && this.nowMs > fifthMs + 3_000) {
      this.counts.late += 1;
    }
    const startMs = isBad ? 150 + 250 * this.random.float() : 600 + 400 * this.random.float();
    const endpoint = usable[this.pick(usable.length)];
    const decidedMs = this.nowMs + startMs;
    this.runs.push({ gateway, endpoint, subjects, isBad, decidedMs, isRepeated });
  }

  private decideRuns(): void {
    for (const run of this.runs.filter(({ decidedMs }) => decidedMs <= this.nowMs)) {
      if (this.runs.includes(run) && run.isBad) {
        this.crashTimesMs.push(this.nowMs);
        this.crash(run.endpoint);
      } else if (this.runs.includes(run)) {
        this.runs = this.runs.filter((other) => other !== run);
        run.subjects
          .slice(1)
          .forEach((part) => this.gateways[run.gateway].recordSurvival(part, this.nowMs));
      }
    }
  }

  private crash(endpoint: number): void {
    this.incarnations[endpoint] += 1;
    this.upFromMs[endpoint] = this.nowMs + downMs;
    const id = `endpoint-${endpoint}@${this.incarnations[endpoint]}`;
    const lost = this.runs.filter((run) => run.endpoint === endpoint);
    this.runs = this.runs.filter((run) => run.endpoint !== endpoint);
    lost.forEach(({ gateway, subjects }) => {
      this.gateways[gateway].recordCrash(id, subjects, this.nowMs);
    });
    lost
      .filter(({ isRepeated }) => !isRepeated)
      .forEach(({ gateway, subjects, isBad }) => this.send(gateway, subjects, isBad, true));
    this.noteQuarantines();
  }

  private crashWave(): void {
    const candidates = this.upFromMs.map((_upMs, index) => index);
    for (let count = 0; count < this.scenario.endpointsPerWave; count += 1) {
      const [endpoint] = candidates.splice(this.pick(candidates.length), 1);
      if (this.upFromMs[endpoint] <= this.nowMs) {
        this.crash(endpoint);
      }
    }
  }

  private gossip(): void {
    const snapshots = this.gateways.map((gateway) => gateway.snapshot());
    this.gateways.forEach((gateway, index) =>
      snapshots
        .filter((snapshot, other) => other !== index && snapshot.length > 0)
        .forEach((snapshot) => gateway.merge(snapshot, this.nowMs)),
    );
    this.noteQuarantines();
  }

  private noteQuarantines(): void {
    this.gateways
      .flatMap((gateway) => gateway.quarantinedParts())
      .filter(({ fingerprint }) => fingerprint !== deadly)
      .forEach(({ fingerprint }) => this.quarantined.add(fingerprint));
  }

  private pick(count: number): number {
    return Math.floor(this.random.float() * count);
  }

  private pickFirstPart(): number {
    const total = this.weights.reduce((sum, weight) => sum + weight, 0);
    let rest = this.random.float() * total;
    const index = this.weights.findIndex((weight) => {
      rest -= weight;
      return rest <= 0;
    });
    return Math.max(0, index);
  }
}
