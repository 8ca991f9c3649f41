import { rendezvousTop } from '../../../base/common/rendezvous.js';
import type { IClock } from '../../../base/common/clock.js';

/** How a gateway learns of changes in the store. */
export enum FeedRole {
  /** It watches the store and tells the others at once. */
  Primary = 'primary',
  /** It watches the store less often, in case that the primary fails without being noticed. */
  Backup = 'backup',
  /** It hears of changes from the watchers. */
  Follower = 'follower',
}

/** Key under which the watchers are chosen. */
const electionKey = 'feed-watchers';

/** Number of gateways that watch the store for all others. */
export const watcherCount = 2;

/**
 * Time within which a chosen gateway must send a usable update before another one is chosen in its place,
 * in milliseconds.
 */
export const watcherTrialMs = 2_500;

/** Time for which a gateway that sent no a usable update isn't chosen again, in milliseconds. */
export const watcherExclusionMs = 5_000;

/**
 * Chooses the gateways that watch the store. Each gateway chooses for itself among those that it
 * hears. If two choose differently, a few more watch than needed, or a follower hears no updates and
 * watches the store itself.
 */
export class WatcherElection {
  /** Monotonic time of the last a usable update of each gateway, or of its choice if none arrived since. */
  private readonly lastSignMs = new Map<string, number>();

  private readonly excludedUntilMs = new Map<string, number>();

  /**
   * @param self - Instance name of this gateway.
   * @param clock - Source of time.
   */
  constructor(
    private readonly self: string,
    private readonly clock: IClock,
  ) {}

  /**
   * Records that a gateway sent an update that confirms copies of the store.
   *
   * @param instance - Instance name of the sender.
   */
  recordUpdate(instance: string): void {
    this.lastSignMs.set(instance, this.clock.monotonicMs());
    this.excludedUntilMs.delete(instance);
  }

  /**
   * Returns the role of this gateway; call this several times a second.
   *
   * @param peers - Instance names of the gateways that were heard recently.
   */
  roleAmong(peers: readonly string[]): FeedRole {
    const nowMs = this.clock.monotonicMs();
    const candidates = peers.filter((peer) => (this.excludedUntilMs.get(peer) ?? 0) <= nowMs);
    const watchers = rendezvousTop(electionKey, [this.self, ...candidates], watcherCount);
    for (const watcher of this.lastSignMs.keys()) {
      if (!watchers.includes(watcher)) {
        this.lastSignMs.delete(watcher);
      }
    }
    for (const watcher of watchers) {
      const signMs = this.lastSignMs.get(watcher) ?? nowMs;
      this.lastSignMs.set(watcher, signMs);
      if (watcher !== this.self && nowMs - signMs > watcherTrialMs) {
        this.lastSignMs.delete(watcher);
        this.excludedUntilMs.set(watcher, nowMs + watcherExclusionMs);
      }
    }
    const rank = watchers.indexOf(this.self);
    if (rank < 0) {
      return FeedRole.Follower;
    }
    return rank === 0 ? FeedRole.Primary : FeedRole.Backup;
  }
}
