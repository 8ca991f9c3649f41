import type { ModelSpec } from '../../services/model/common/model.js';
import type { LeaseRecord } from '../../services/lease/common/lease.js';
import { ObjectKind, type IObjectStore } from '../../services/objects/common/objects.js';
import type { ITermSource } from '../order/common/orderFence.js';

/** Reads the current term of a region's placement lease from the platform. */
export class LeaseTermSource implements ITermSource {
  /**
   * @param store - Object store of the platform.
   * @param region - Region whose placement lease is read.
   */
  constructor(
    private readonly store: IObjectStore,
    private readonly region: string,
  ) {}

  async currentTerm(): Promise<number | undefined> {
    const result = await this.store.get<LeaseRecord>(ObjectKind.Leases, `placement-${this.region}`);
    return result.isOk() ? (result.value?.value.term ?? 0) : undefined;
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
