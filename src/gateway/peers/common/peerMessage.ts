import * as v from 'valibot';
import type { EndpointLoad } from '../../routing/common/reservationLedger.js';

/** What a gateway tells its peers several times a second. */
export interface PeerMessage {
  /** Instance of the sender. */
  readonly sender: string;
  /** Version of the configuration in force there. */
  readonly configVersion: number;
  readonly loads: ReadonlyMap<string, EndpointLoad>;
  /** Addresses that the sender passes over because they were silent. */
  readonly suspects: readonly string[];
  /** Addresses of endpoints that refused the sender just now, for want of room. */
  readonly full: readonly string[];
  /** Addresses of endpoints that leave, as the sender read in the store. */
  readonly leaving: readonly string[];
  /** Term under which the sender places layers; 0 if it doesn't. */
  readonly placingTerm: number;
}

const amount = v.pipe(v.number(), v.minValue(0));

const messageSchema = v.tuple([
  v.string(),
  v.number(),
  v.array(v.tuple([v.string(), amount, amount, amount, amount])),
  v.array(v.string()),
  v.array(v.string()),
  v.number(),
  v.optional(v.array(v.string()), []),
]);

/**
 * Turns a message into plain arrays, which take the fewest bytes.
 *
 * @param message - The message.
 * @returns Arrays of strings and numbers.
 */
export function toWire(message: PeerMessage): unknown {
  const loads = [...message.loads].map(([address, load]) => [
    address,
    Math.round(load.tokenLayers),
    load.requests,
    load.firstStageRequests,
    Math.round(load.prefillMs),
  ]);
  const { sender, configVersion, suspects, leaving, placingTerm, full } = message;
  return [sender, configVersion, loads, suspects, leaving, placingTerm, full];
}

/**
 * Reads a message.
 *
 * @param wire - What a peer sent.
 * @returns The message, or undefined if it isn't one.
 */
export function fromWire(wire: unknown): PeerMessage | undefined {
  const parsed = v.safeParse(messageSchema, wire);
  if (!parsed.success) {
    return undefined;
  }
  const [sender, configVersion, loads, suspects, leaving, placingTerm, full] = parsed.output;
  return {
    sender,
    configVersion,
    suspects,
    leaving,
    placingTerm,
    full,
    loads: new Map(
      loads.map(([address, tokenLayers, requests, firstStageRequests, prefillMs]) => [
        address,
        { tokenLayers, requests, firstStageRequests, prefillMs },
      ]),
    ),
  };
}
