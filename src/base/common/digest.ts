import { createHash } from 'node:crypto';

/**
 * Digests a text.
 *
 * @param text - Any text.
 * @returns Its SHA-256 as hexadecimal digits.
 */
export function sha256Hex(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
