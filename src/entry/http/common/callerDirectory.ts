import { sha256Hex } from '../../../base/common/digest.js';

/** Organisation object of the platform. */
export interface OrganisationRecord {
  readonly name: string;
  /** SHA-256 of each bearer key, as hexadecimal digits. */
  readonly keyHashes: readonly string[];
}

/**
 * Hashes a bearer key.
 *
 * @param key - The key.
 * @returns Its SHA-256 as hexadecimal digits.
 */
export function hashKey(key: string): string {
  return sha256Hex(key);
}

/**
 * Takes the key out of an authorization header.
 *
 * @param header - For example `Bearer abc`.
 * @returns The key, or undefined if the header is not of that form.
 */
export function bearerKey(header: string | undefined): string | undefined {
  return /^Bearer ([\x21-\x7e]{1,512})$/i.exec(header ?? '')?.[1];
}

/** Finds the organisation of a bearer key. */
export class CallerDirectory {
  private byHash = new Map<string, string>();

  /**
   * Replaces the known organisations.
   *
   * @param organisations - All organisations.
   */
  update(organisations: readonly OrganisationRecord[]): void {
    this.byHash = new Map(
      organisations.flatMap(({ name, keyHashes }) =>
        keyHashes.map((hash): [string, string] => [hash, name]),
      ),
    );
  }

  /**
   * Finds an organisation.
   *
   * @param authorization - Value of the authorization header.
   * @returns Its name, or undefined if the key is unknown.
   */
  find(authorization: string | undefined): string | undefined {
    const key = bearerKey(authorization);
    return key === undefined ? undefined : this.byHash.get(hashKey(key));
  }
}
