import * as v from 'valibot';
import {
  addressSchema,
  roundedCountSchema,
  textSchema,
  wholeNumberSchema,
} from '../../../base/common/boundedValues.js';
import { EndpointState, type LayerRange } from './endpoint.js';

/** Maximum number of layers of a model. */
export const maxModelLayers = 1_024;

/** Index of a layer, or the end of a range of layers. */
export const layerIndexSchema = v.pipe(wholeNumberSchema, v.maxValue(maxModelLayers));

/** Schemas of what an entry says of an endpoint, by the names of its properties. */
export const endpointSchemas = {
  startedMs: wholeNumberSchema,
  service: textSchema,
  address: addressSchema,
  dataCentre: textSchema,
  state: v.enum(EndpointState),
  slots: roundedCountSchema,
  card: textSchema,
};

/**
 * Returns the range between two layers.
 *
 * @param from - First layer.
 * @param to - Layer after the last one.
 * @returns The range; undefined if it is empty.
 */
export function toLayerRange(from: number, to: number): LayerRange | undefined {
  return to > from ? { from, to } : undefined;
}
