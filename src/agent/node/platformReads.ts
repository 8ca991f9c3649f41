import type { ModelSpec } from '../../services/model/common/model.js';
import { toFencingToken, type LeaseRecord } from '../../services/lease/common/lease.js';
import {
  firstEra,
  ObjectKind,
  type IObjectStore,
  type IStoreEra,
} from '../../services/objects/common/objects.js';
import type { ITokenSource } from '../order/common/orderFence.js';

/** Reads the fencing token of a region's placement lease from the platform. */
export class LeaseTokenSource implements ITokenSource {
  /**
   * @param store - Object store of the platform.
   * @param region - Region whose placement lease is read.
   */
  constructor(
    private readonly store: IObjectStore & IStoreEra,
    private readonly region: string,
  ) {}

  get lowestToken(): number {
    return this.store.era > firstEra ? toFencingToken(this.store.era, 0) : 0;
  }

  async currentToken(): Promise<number | undefined> {
    const result = await this.store.get<LeaseRecord>(ObjectKind.Leases, `placement-${this.region}`);
    if (result.isErr()) {
      return undefined;
    }
    const { era = 0, term = 0 } = result.value?.value ?? {};
    return toFencingToken(era, term);
  }
}

/**
 * Reads the memory that one layer of a model needs.
 *
 * @param store - Object store of the platform.
 * @param model - Name of the model.
 * @returns MiB per layer, or undefined if the model cannot be read.
 */
export async function readLayerMiB(
  store: IObjectStore,
  model: string,
): Promise<number | undefined> {
  const result = await store.get<ModelSpec>(ObjectKind.Models, model);
  return result.isOk() ? result.value?.value.layerMiB : undefined;
}
