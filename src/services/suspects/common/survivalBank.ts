/** Maximum number of subjects whose survivals are kept. */
const maxSubjects = 4_096;

/** Time after its last survival for which a subject's survivals are kept, in milliseconds. */
const survivalRetentionMs = 600_000;

/** Number of outweighed crashes that are remembered for each subject. */
const maxOutweighedCrashes = 8;

/** Survivals of one subject. */
interface Account {
  count: number;
  atMs: number;
  /** Crashes that survivals were used for, so that each costs one however many runs it ended. */
  outweighed: readonly string[];
}

/** Keeps the recent survivals of subjects in reserve, each of which outweighs one later crash. */
export class SurvivalBank {
  /** The subject that survived longest ago comes first. */
  private readonly accounts = new Map<string, Account>();

  /** @param maxSurvivals - Maximum number of survivals in reserve for one subject. */
  constructor(private readonly maxSurvivals: number) {}

  /** Number of subjects with an entry. */
  get size(): number {
    return this.accounts.size;
  }

  /**
   * Adds a survival.
   *
   * @param subject - Subject that an endpoint survived.
   * @param nowMs - Wall-clock time, in milliseconds.
   */
  add(subject: string, nowMs: number): void {
    const known = this.accounts.get(subject);
    this.accounts.delete(subject);
    this.accounts.set(subject, {
      count: Math.min(this.maxSurvivals, this.countOf(known, nowMs) + 1),
      atMs: nowMs,
      outweighed: known?.outweighed ?? [],
    });
    if (this.accounts.size > maxSubjects) {
      const [oldest] = this.accounts.keys();
      this.accounts.delete(oldest);
    }
  }

  /**
   * Returns whether survivals of a subject are in reserve.
   *
   * @param subject - The subject.
   * @param nowMs - Wall-clock time, in milliseconds.
   */
  has(subject: string, nowMs: number): boolean {
    return this.countOf(this.accounts.get(subject), nowMs) > 0;
  }

  /**
   * Uses a survival to outweigh a crash.
   *
   * @param subject - Subject that was present at the crash.
   * @param crash - Id of the crash.
   * @param nowMs - Wall-clock time, in milliseconds.
   * @returns Whether the crash is outweighed, now or already before.
   */
  outweigh(subject: string, crash: string, nowMs: number): boolean {
    const account = this.accounts.get(subject);
    if (account === undefined) {
      return false;
    }
    if (account.outweighed.includes(crash)) {
      return true;
    }
    const count = this.countOf(account, nowMs);
    if (count === 0) {
      return false;
    }
    account.count = count - 1;
    account.outweighed = [...account.outweighed, crash].slice(-maxOutweighedCrashes);
    return true;
  }

  private countOf(account: Account | undefined, nowMs: number): number {
    return account !== undefined && nowMs - account.atMs <= survivalRetentionMs ? account.count : 0;
  }
}
