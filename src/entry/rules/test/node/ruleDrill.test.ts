import { expect } from 'chai';
import type { LogFields } from '../../../../base/common/logger.js';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { restoreMs, RestorePeriod } from '../../../../services/objects/common/restorePeriod.js';
import { ObjectKind } from '../../../../services/objects/common/objects.js';
import {
  DrillStore,
  DrillStoreClient,
} from '../../../../services/objects/test/common/drillStore.js';
import { RuleHistory } from '../../../../services/rules/common/ruleHistory.js';
import { RuleStore } from '../../../../services/rules/common/ruleStore.js';
import { RuleFeed } from '../../node/ruleFeed.js';

const digest = (text: string) => `digest of ${text}`;

const textOf = (weight: number) =>
  `share organisation=coop weight=${weight} # asked by Cooperativa`;

/** Client whose next write of the manifest meets what `beforeWrite` does to the store. */
class InterruptedClient extends DrillStoreClient {
  beforeWrite: (() => void) | undefined;

  override put<T>(kind: ObjectKind, name: string, value: T, version: number) {
    if (kind === ObjectKind.RuleManifest) {
      this.beforeWrite?.();
      this.beforeWrite = undefined;
    }
    return super.put(kind, name, value, version);
  }
}

/** Entries before one store, and the highest revision that their agents have heard of. */
class World {
  readonly clock = new FakeClock();

  readonly store = new DrillStore();

  agentRevision = 0;

  readonly lost = new Set<string>();
}

class Entry {
  readonly client: InterruptedClient;

  readonly ruleStore: RuleStore;

  readonly feed: RuleFeed;

  readonly events: string[] = [];

  constructor(private readonly world: World) {
    this.client = new InterruptedClient(world.store);
    const period = new RestorePeriod(this.client, world.clock);
    const history = new RuleHistory(period, () =>
      Math.max(world.agentRevision, this.feed.current.revision),
    );
    this.ruleStore = new RuleStore(this.client, digest, history);
    const log = (_level: unknown, event: string, fields: LogFields = {}) => {
      this.events.push(event);
      if (event === 'rules-change-lost') {
        world.lost.add(String(fields.change));
      }
    };
    this.feed = new RuleFeed(this.ruleStore, this.client, history, { log });
  }

  async refresh(): Promise<boolean> {
    const isCurrent = await this.feed.refresh();
    this.world.agentRevision = Math.max(this.world.agentRevision, this.feed.current.revision);
    return isCurrent;
  }

  /** Changes the rules as an operator who sees those in force; returns the revision if accepted. */
  async change(id: string, weight: number, baseRevision = this.feed.current.revision) {
    const edit = { id, text: textOf(weight), baseRevision, by: id, atMs: 0 };
    const applied = await this.ruleStore.apply(edit);
    await this.refresh();
    return applied.isOk() ? applied.value : undefined;
  }
}

describe('rules of entries on a store that comes back from older copies', () => {
  let world: World;

  beforeEach(() => {
    world = new World();
  });

  const outlastRestoring = async (entries: readonly Entry[]) => {
    for (let second = 0; second <= restoreMs / 1_000; second += 1) {
      for (const entry of entries) {
        await entry.refresh();
      }
      world.clock.advance(1_000);
    }
  };

  it('never get the revision of a forgotten change that an agent knows of', async () => {
    const entry = new Entry(world);
    await entry.change('change-1', 1);
    const copy = world.store.copy();
    expect(await entry.change('change-2', 2)).to.equal(2);
    world.store.comeBackFrom(copy);
    const started = new Entry(world);
    await outlastRestoring([started]);
    expect(await started.change('change-3', 3)).to.equal(3);
  });
});
