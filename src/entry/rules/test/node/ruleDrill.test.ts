import { expect } from 'chai';
import { SeededRandom } from '../../../../base/common/random.js';
import type { LogFields } from '../../../../base/common/logger.js';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { restoreMs, RestorePeriod } from '../../../../services/objects/common/restorePeriod.js';
import { ObjectKind } from '../../../../services/objects/common/objects.js';
import {
  DrillStore,
  DrillStoreClient,
} from '../../../../services/objects/test/common/drillStore.js';
import { RuleHistory } from '../../../../services/rules/common/ruleHistory.js';
import { RuleStore, type RuleManifest } from '../../../../services/rules/common/ruleStore.js';
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

  manifest(): RuleManifest | undefined {
    return this.store.read(`${ObjectKind.RuleManifest}/rules`)?.value as RuleManifest | undefined;
  }
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

  it('are written again by an entry that has them in force', async () => {
    const entry = new Entry(world);
    await entry.change('change-1', 1);
    const copy = world.store.copy();
    await entry.change('change-2', 2);
    world.store.comeBackFrom(copy);
    await entry.refresh();
    const started = new Entry(world);
    await started.refresh();
    expect(started.feed.current.revision).to.equal(2);
    expect(started.feed.current.text).to.equal(textOf(2));
    expect(started.feed.current.changes.map(({ id }) => id)).to.deep.equal([
      'change-1',
      'change-2',
    ]);
  });

  it('are not changed on the base of an older copy before they are written again', async () => {
    const holder = new Entry(world);
    const other = new Entry(world);
    await holder.change('change-1', 1);
    const copy = world.store.copy();
    await holder.change('change-2', 2);
    world.store.comeBackFrom(copy);
    expect(await other.change('change-3', 3, 1)).to.equal(undefined);
    await outlastRestoring([holder, other]);
    expect(await other.change('change-4', 4)).to.equal(3);
    expect(world.manifest()?.changes.map(({ id }) => id)).to.include('change-2');
  });

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

  it('are served from the copy once nobody can write a forgotten revision again, and the log says so', async () => {
    const entry = new Entry(world);
    await entry.change('change-1', 1);
    const copy = world.store.copy();
    await entry.change('change-2', 2);
    world.store.comeBackFrom(copy);
    const started = new Entry(world);
    expect(await started.refresh()).to.equal(false);
    expect(started.feed.isReady).to.equal(false);
    await outlastRestoring([started]);
    expect(started.feed.isReady).to.equal(true);
    expect(started.events).to.include('rules-revision-lost');
  });

  it('replace a change that was prepared in the earlier era and is unconfirmed', async () => {
    const holder = new Entry(world);
    await holder.change('change-1', 1);
    const copy = world.store.copy();
    await holder.change('change-2', 2);
    world.store.comeBackFrom(copy);
    const stale: RuleManifest = {
      revision: 2,
      chunks: [digest(textOf(9))],
      changes: [
        ...(world.manifest()?.changes ?? []),
        { id: 'stale', revision: 2, by: 's', atMs: 0 },
      ],
    };
    world.store.write(`${ObjectKind.RuleChunks}/${digest(textOf(9))}`, { text: textOf(9) }, 0);
    const revision = world.store.read(`${ObjectKind.RuleManifest}/rules`)?.revision ?? 0;
    world.store.write(`${ObjectKind.RuleManifest}/rules`, stale, revision);
    const started = new Entry(world);
    await started.refresh();
    await outlastRestoring([holder, started]);
    expect(started.feed.current.text).to.equal(textOf(2));
    expect(holder.feed.current.text).to.equal(textOf(2));
    expect(started.feed.current.revision).to.equal(holder.feed.current.revision);
  });

  it('keep no manifest whose text the store has forgotten', async () => {
    const entry = new Entry(world);
    await entry.change('change-1', 1);
    const copy = world.store.copy();
    entry.client.beforeWrite = () => world.store.comeBackFrom(copy);
    await entry.change('change-2', 2);
    await outlastRestoring([entry]);
    const started = new Entry(world);
    await started.refresh();
    expect(started.feed.current.revision).to.be.greaterThan(0);
  });

  it('follow the change of a later era, and the log names the lost one, if it was accepted meanwhile', async () => {
    const late = new Entry(world);
    const other = new Entry(world);
    await late.change('change-1', 1);
    await other.refresh();
    const copy = world.store.copy();
    await late.change('change-2', 2);
    world.agentRevision = 1;
    world.store.comeBackFrom(copy);
    await outlastRestoring([other]);
    expect(await other.change('change-3', 3)).to.equal(2);
    await outlastRestoring([late, other]);
    [late, other].forEach(({ feed }) => expect(feed.current.text).to.equal(textOf(3)));
    expect(late.feed.current.revision).to.equal(other.feed.current.revision);
    expect([...world.lost]).to.deep.equal(['change-2']);
  });

  /** Plays a run and checks it; returns the numbers of drills and of accepted and lost changes. */
  const play = async (random: SeededRandom) => {
    const played = new World();
    world = played;
    const entries = [new Entry(played), new Entry(played), new Entry(played)];
    const accepted = new Map<string, number>();
    const highest = new Map<Entry, number>();
    let copy = played.store.copy();
    let drills = 0;
    const comeBack = () => {
      played.store.comeBackFrom(copy);
      drills += 1;
    };
    for (let step = 0; step < 60; step += 1) {
      played.clock.advance(random.integer(100, 2_000));
      const index = random.integer(0, 2);
      const entry = entries[index];
      const kind = random.integer(0, 19);
      if (kind < 6) {
        entry.client.beforeWrite = kind === 0 ? comeBack : undefined;
        const revision = await entry.change(`change-${step}`, step + 1);
        if (revision !== undefined) {
          expect([...accepted.values()]).not.to.include(revision);
          accepted.set(`change-${step}`, revision);
        }
      } else if (kind < 8) {
        copy = played.store.copy();
      } else if (kind === 8) {
        comeBack();
      } else if (kind === 9 && index > 0) {
        entries[index] = new Entry(played);
      } else {
        await entry.refresh();
      }
      // The first entry is never restarted and hears of each accepted change.
      await entries[0].refresh();
      for (const each of entries) {
        expect(each.feed.current.revision).to.be.at.least(highest.get(each) ?? 0);
        highest.set(each, each.feed.current.revision);
      }
    }
    await outlastRestoring(entries);
    const stored = played.manifest();
    for (const { feed } of entries) {
      expect(feed.current.revision).to.equal(stored?.revision ?? 0);
      expect(feed.current.text).to.equal(entries[0].feed.current.text);
    }
    const storedIds = new Set(stored?.changes.map(({ id }) => id));
    const missing = [...accepted.keys()].filter((id) => !storedIds.has(id));
    expect(missing.filter((id) => !played.lost.has(id))).to.deep.equal([]);
    return { drills, accepted: accepted.size, lost: missing.length };
  };

  it('never step back, converge, and are stored or named in the log, over drills, restarts and late writes', async () => {
    const total = { drills: 0, accepted: 0, lost: 0 };
    for (let seed = 1; seed <= 150; seed += 1) {
      const counts = await play(new SeededRandom(seed));
      total.drills += counts.drills;
      total.accepted += counts.accepted;
      total.lost += counts.lost;
    }
    expect(total.drills).to.be.greaterThan(300);
    expect(total.accepted).to.be.greaterThan(500);
    expect(total.lost).to.equal(0);
  });
});
