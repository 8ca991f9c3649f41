import type { ModelSpec } from '../../services/model/common/model.js';
import type { LeaseRecord } from '../../services/lease/common/lease.js';
import { ObjectKind, type IObjectStore } from '../../services/objects/common/objects.js';
import type { ITermSource } from '../order/common/orderFence.js';

/** Reads the newest lease term of a region from the platform. */
export class LeaseTermSource implements ITermSource {
  /**
   * @param store - The platform's objects.
   * @param region - Region whose lease decides.
   */
  constructor(
    private readonly store: IObjectStore,
    private readonly region: string,
  ) {}

  async currentTerm(): Promise<number | undefined> {
    const read = await this.store.get<LeaseRecord>(ObjectKind.Leases, `placement-${this.region}`);
    return read.isOk() ? (read.value?.value.term ?? 0) : undefined;
  }
}

/**
 * Reads how much memory one layer of a model needs.
 *
 * @param store - The platform's objects.
 * @param model - Name of the model.
 * @returns MiB per layer, or undefined if the model cannot be read.
 */
export async function readLayerMiB(
  store: IObjectStore,
  model: string,
): Promise<number | undefined> {
  const read = await store.get<ModelSpec>(ObjectKind.Models, model);
  return read.isOk() ? read.value?.value.layerMiB : undefined;
}
