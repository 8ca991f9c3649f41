import { createHash } from 'node:crypto';

/**
 * Computes the SHA-256 digest of a text.
 *
 * @param text - Any text.
 * @returns The digest, as hexadecimal digits.
 */
export function sha256Hex(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
