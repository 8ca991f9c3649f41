import * as v from 'valibot';
import { textSchema } from '../../../base/common/boundedValues.js';
import type { Endpoint } from '../../directory/common/endpoint.js';
import {
  endpointSchemas,
  layerIndexSchema,
  toLayerRange,
} from '../../directory/common/endpointSchema.js';
import { peerAddressSchemas, type PeerAddress } from '../../peers/common/peerAddress.js';
import type { IUpdateCodec } from './feedUpdate.js';

const endpointSchema = v.tuple([
  v.string(),
  endpointSchemas.startedMs,
  endpointSchemas.service,
  endpointSchemas.address,
  endpointSchemas.dataCentre,
  endpointSchemas.state,
  endpointSchemas.slots,
  v.nullable(endpointSchemas.card),
  v.nullable(v.tuple([layerIndexSchema, layerIndexSchema])),
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
    const parsed = v.safeParse(endpointSchema, wire, { abortEarly: true });
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
      layers: layers ? toLayerRange(layers[0], layers[1]) : undefined,
    };
  },
};

const peerSchema = v.tuple([textSchema, peerAddressSchemas.host, peerAddressSchemas.port]);

/** Codec of the gateways' addresses. */
export const peerUpdateCodec: IUpdateCodec<PeerAddress> = {
  encode: ({ instance, host, port }) => [instance, host, port],
  decode: (wire) => {
    const parsed = v.safeParse(peerSchema, wire, { abortEarly: true });
    if (!parsed.success) {
      return undefined;
    }
    const [instance, host, port] = parsed.output;
    return { instance, host, port };
  },
};
