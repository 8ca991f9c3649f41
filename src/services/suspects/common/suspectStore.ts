import type { IClock } from '../../../base/common/clock.js';
import { absentVersion, ObjectKind, type IObjectStore } from '../../objects/common/objects.js';
import type { CrashSuspects } from './crashSuspects.js';
import type { ISuspectSharing } from './suspectGuard.js';
import { hasSameRecords, parseSuspectRecords } from './suspectRecord.js';

const objectName = 'suspects';

/** Maximum tries of the conditional update; each concurrent write by another process costs one. */
const maxUpdateTries = 8;

/** Shares suspicions between processes through one object of the platform. */
export class SuspectStore implements ISuspectSharing {
  /**
   * @param suspects - Suspicions of this process.
   * @param store - Object store of the platform.
   * @param clock - Source of time.
   */
  constructor(
    private readonly suspects: CrashSuspects,
    private readonly store: IObjectStore,
    private readonly clock: IClock,
  ) {}

  async share(wanted: readonly string[]): Promise<readonly string[] | undefined> {
    for (let tries = 0; tries < maxUpdateTries; tries += 1) {
      const read = await this.store.get(ObjectKind.Quarantine, objectName);
      if (read.isErr()) {
        break;
      }
      const nowMs = this.clock.wallMs();
      const stored = parseSuspectRecords(read.value?.value);
      this.suspects.merge(stored ?? [], nowMs);
      const granted = wanted.filter((fingerprint) => this.suspects.acquire(fingerprint, nowMs));
      const records = this.suspects.snapshot();
      if (hasSameRecords(records, stored ?? [])) {
        return granted;
      }
      const version = read.value?.version ?? absentVersion;
      const put = await this.store.put(ObjectKind.Quarantine, objectName, { records }, version);
      if (put.isOk()) {
        return granted;
      }
    }
    return undefined;
  }
}
