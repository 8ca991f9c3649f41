import * as v from 'valibot';
import { amountSchema } from '../../../base/common/boundedValues.js';

const ids = v.pipe(v.array(v.string()), v.readonly());

/** Schema of a record, as it is stored and sent. */
export const suspectRecordSchema = v.object({
  /** Digest that is the same each time that the caller sends the request again, or a part of prompts. */
  fingerprint: v.string(),
  /** Ids of the crashes during which the request ran. */
  crashes: ids,
  /** Those of `crashes` that no longer count, since an endpoint survived the request once for each. */
  cleared: v.optional(ids, []),
  /** Of a part: fingerprints of some of the requests that held it at its crashes. */
  requests: v.optional(ids, []),
  /** Process that may run the request again; empty if none has claimed it. */
  runner: v.string(),
  /** Wall-clock time of the latest crash or claim, in milliseconds since 1970. */
  atMs: amountSchema,
});

/** Record of a request that was running when an endpoint crashed. */
export type SuspectRecord = Readonly<v.InferOutput<typeof suspectRecordSchema>>;

const objectSchema = v.object({ records: v.array(suspectRecordSchema) });

/**
 * Compares two sets of records.
 *
 * @param a - Records in any order.
 * @param b - Records in any order.
 * @returns Whether they hold the same.
 */
export function hasSameRecords(a: readonly SuspectRecord[], b: readonly SuspectRecord[]): boolean {
  const byFingerprint = new Map(b.map((record) => [record.fingerprint, JSON.stringify(record)]));
  return (
    a.length === b.length &&
    a.every((record) => byFingerprint.get(record.fingerprint) === JSON.stringify(record))
  );
}

/**
 * Returns whether stored records hold all crashes that count according to others.
 *
 * @param stored - Records of the store.
 * @param records - Records of this process.
 */
export function holdsCrashes(
  stored: readonly SuspectRecord[],
  records: readonly SuspectRecord[],
): boolean {
  const known = new Map(stored.map(({ fingerprint, crashes }) => [fingerprint, new Set(crashes)]));
  return records.every(({ fingerprint, crashes, cleared }) =>
    crashes.every((crash) => cleared.includes(crash) || known.get(fingerprint)?.has(crash)),
  );
}

/**
 * Decodes the object of the store that holds the records.
 *
 * @param value - Content of the object.
 * @returns The records, or undefined if the content isn't valid.
 */
export function parseSuspectRecords(value: unknown): readonly SuspectRecord[] | undefined {
  const parsed = v.safeParse(objectSchema, value);
  return parsed.success ? parsed.output.records : undefined;
}
