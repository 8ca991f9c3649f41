import * as v from 'valibot';
import { portSchema } from '../../../base/common/boundedValues.js';

/** Address at which a gateway receives messages of its peers. */
export interface PeerAddress {
  readonly instance: string;
  readonly host: string;
  readonly port: number;
}

/** Schemas of the host and the port of a {@link PeerAddress}. */
export const peerAddressSchemas = { host: v.pipe(v.string(), v.ipv4()), port: portSchema };
