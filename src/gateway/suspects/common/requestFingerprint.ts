import { createHash } from 'node:crypto';
import type { CallerRequest } from '../../relay/common/callerRequest.js';

/** Length of a fingerprint in bytes, before it is encoded. */
const fingerprintBytes = 16;

/**
 * Returns the fingerprint of a request, which is the same each time that the caller sends it again:
 * a digest of everything but its headers, which change between calls.
 *
 * @param req - Request of a caller.
 * @returns The digest of the organisation, the method, the route, the target and the body, in base64url.
 */
export function fingerprintOf(req: CallerRequest): string {
  const { organisation = '', method, route, target, body } = req;
  const hash = createHash('sha256').update(
    JSON.stringify([organisation, method, route.host, target]),
  );
  if (body) {
    hash.update(body);
  }
  return hash.digest().subarray(0, fingerprintBytes).toString('base64url');
}
