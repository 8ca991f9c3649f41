/** What may be suspected of a request. */
export interface GuardedSubjects {
  readonly fingerprint: string;
  /** Subjects of the parts that it shares with other requests; none if it has no parts. */
  readonly parts?: readonly string[];
}

/** Prefix of subjects that are parts of prompts. A digest in base64url holds no colon. */
const partPrefix = 'part:';

/**
 * Returns the subject of suspicion for a part of prompts.
 *
 * @param id - Id of the part, the same in all requests that share it.
 */
export function partSubject(id: string): string {
  return partPrefix + id;
}

/**
 * Returns whether a subject is a part of prompts rather than a whole request.
 *
 * @param subject - Digest of a request, or the subject of a part.
 */
export function isPartSubject(subject: string): boolean {
  return subject.startsWith(partPrefix);
}

/** Returns what may be suspected of a request: the request itself, which comes first, and its parts. */
export function subjectsOf({ fingerprint, parts = [] }: GuardedSubjects): readonly string[] {
  return [fingerprint, ...parts];
}
