import { sha256Hex } from '../../../base/common/digest.js';

/** Organisation as stored in the platform. */
export interface OrganisationRecord {
  readonly name: string;
  /** SHA-256 digest of each bearer key, in hexadecimal. */
  readonly keyHashes: readonly string[];
}

/**
 * Hashes a bearer key.
 *
 * @param key - The bearer key.
 * @returns The SHA-256 digest of the key, in hexadecimal.
 */
export function hashKey(key: string): string {
  return sha256Hex(key);
}

/**
 * Extracts the bearer key from an authorization header.
 *
 * @param header - Value of the header, for example `Bearer abc`.
 * @returns The key, or undefined if the header is missing or malformed.
 */
export function bearerKey(header: string | undefined): string | undefined {
  return /^Bearer ([\x21-\x7e]{1,512})$/i.exec(header ?? '')?.[1];
}

/** Looks up organisations by bearer key. */
export class CallerDirectory {
  private byHash = new Map<string, string>();

  /**
   * Replaces all organisations.
   *
   * @param organisations - The current organisations.
   */
  update(organisations: readonly OrganisationRecord[]): void {
    this.byHash = new Map(
      organisations.flatMap(({ name, keyHashes }) =>
        keyHashes.map((hash): [string, string] => [hash, name]),
      ),
    );
  }

  /**
   * Returns the organisation of a caller.
   *
   * @param authorization - Value of the authorization header.
   * @returns Name of the organisation, or undefined if the key is missing or unknown.
   */
  find(authorization: string | undefined): string | undefined {
    const key = bearerKey(authorization);
    return key === undefined ? undefined : this.byHash.get(hashKey(key));
  }
}
