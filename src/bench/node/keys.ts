import { createHash } from 'node:crypto';

/**
 * Hashes a key as the platform's objects hold it.
 *
 * @param key - The key.
 * @returns Its SHA-256 as hexadecimal digits.
 */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
