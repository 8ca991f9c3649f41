import * as v from 'valibot';
import { EndpointState, type Endpoint } from '../../directory/common/endpoint.js';
import type { PeerAddress } from '../../peers/common/peerAddress.js';
import type { IUpdateCodec } from './feedUpdate.js';

const endpointSchema = v.tuple([
  v.string(),
  v.number(),
  v.string(),
  v.string(),
  v.string(),
  v.enum(EndpointState),
  v.number(),
  v.nullable(v.string()),
  v.nullable(v.tuple([v.number(), v.number()])),
]);

/** Codec of the endpoints; arrays without field names keep the datagrams small. */
export const endpointUpdateCodec: IUpdateCodec<Endpoint> = {
  encode: ({ id, startedMs, service, address, dataCentre, state, slots, card, layers }) => [
    id,
    startedMs,
    service,
    address,
    dataCentre,
    state,
    slots,
    card ?? null,
    layers ? [layers.from, layers.to] : null,
  ],
  decode: (wire) => {
    const parsed = v.safeParse(endpointSchema, wire);
    if (!parsed.success) {
      return undefined;
    }
    const [id, startedMs, service, address, dataCentre, state, slots, card, layers] = parsed.output;
    return {
      id,
      startedMs,
      service,
      address,
      dataCentre,
      state,
      slots,
      card: card ?? undefined,
      layers: layers ? { from: layers[0], to: layers[1] } : undefined,
    };
  },
};

const peerSchema = v.tuple([v.string(), v.string(), v.number()]);

/** Codec of the gateways' addresses. */
export const peerUpdateCodec: IUpdateCodec<PeerAddress> = {
  encode: ({ instance, host, port }) => [instance, host, port],
  decode: (wire) => {
    const parsed = v.safeParse(peerSchema, wire);
    if (!parsed.success) {
      return undefined;
    }
    const [instance, host, port] = parsed.output;
    return { instance, host, port };
  },
};
