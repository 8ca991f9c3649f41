import type { HttpObjectStore } from '../../objects/node/httpObjectStore.js';
import type { IInstanceList, InstanceRecord } from '../common/instance.js';

/** Instance list read from the platform over HTTP. */
export class PlatformInstanceList implements IInstanceList {
  /** @param store - Client of the platform. The caller owns it and closes it. */
  constructor(private readonly store: HttpObjectStore) {}

  async read(): Promise<readonly InstanceRecord[] | undefined> {
    const reply = await this.store.read<{ instances: readonly InstanceRecord[] }>('/instances');
    return reply.isOk() ? reply.value.instances : undefined;
  }
}
