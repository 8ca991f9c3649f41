import { rendezvousWeight } from '../../../base/common/rendezvous.js';

const weightRange = 2 ** 32;

/**
 * Tells whether an endpoint has a slot for one more request that leaves a share of the slots free.
 *
 * The share of one endpoint is rarely a whole number of slots. It is rounded up at some endpoints and
 * down at the others, so that the sum over all endpoints is right. The address decides which, so that all
 * gateways leave the same slots free.
 *
 * @param address - Address of the endpoint.
 * @param slots - Requests that may run their first stage there at once.
 * @param usedSlots - Requests that do so now.
 * @param share - Share of the slots to leave free, from 0 to 1.
 */
export function hasFreeSlot(
  address: string,
  slots: number,
  usedSlots: number,
  share: number,
): boolean {
  const headroom = slots * share;
  const freeSlots = slots - usedSlots;
  if (freeSlots <= Math.floor(headroom)) {
    return false;
  }
  if (freeSlots > Math.ceil(headroom)) {
    return true;
  }
  const roundingPoint = rendezvousWeight('headroom', address) / weightRange;
  return headroom - Math.floor(headroom) <= roundingPoint;
}
