import type { AccountBounds } from './intakeBounds.js';
import { IntakeCut } from './intakeCut.js';

/**
 * Share of the account by which it may be exceeded: bytes that have arrived can't be refused any more, and the
 * rest of what was read with them follows.
 */
const overdraftShare = 0.1;

/**
 * Share of the account that unread answers may use before new requests are refused. They are charged to the
 * part for large bodies; the rest of that part is left for the answers to requests that were passed on before.
 */
const maxAnswerShare = 0.5;

/** Smallest room that a body of unknown length gets once it is no longer small, in bytes. */
const minCommittedBytes = 131_072;

/** Share of the part for large bodies that one sender may use, if senders are told apart. */
const maxOriginShare = 0.25;

/** State of a body in the account. */
export enum BodyState {
  /** Bytes may be read. */
  Reading = 'reading',
  /** Nothing more may be read until there is room. */
  Waiting = 'waiting',
  /** The body is complete, and stays in memory until its request ends. */
  Complete = 'complete',
  /** The body takes no memory any more. */
  Ended = 'ended',
}

/** Receives what the account decides later about a body. */
export interface IBodyOwner {
  /** Called when there is room again after {@link BodyState.Waiting}. */
  onResume(): void;
  /** Called when the body must be refused; it takes no memory any more. */
  onRefuse(reason: IntakeCut): void;
}

/** What is known about a body when its head was read. */
export interface BodyAnnouncement {
  /** Length that the head names, in bytes; undefined if the body comes in chunks. */
  readonly declaredBytes: number | undefined;
  /** Largest legal length, in bytes. */
  readonly maxBytes: number;
  /** Monotonic time by which the body must be complete, in milliseconds. */
  readonly deadlineMs: number;
  /** Time for which the body may wait for room, in milliseconds. */
  readonly maxWaitMs: number;
  /** Monotonic time after which the body is of no use, in milliseconds; Infinity if undefined. */
  readonly neededByMs?: number;
  /** Who sends the body; of bodies that wait, those go first whose senders hold least. */
  readonly origin?: string;
}

/** Entry of one body in a {@link BodyAccount}. */
export interface BodyEntry {
  readonly state: BodyState;
  /** Whether no byte may be read at present because its connection is paced. */
  isPaced: boolean;
}

interface Entry extends BodyEntry {
  readonly owner: IBodyOwner;
  readonly announcement: BodyAnnouncement;
  state: BodyState;
  /** Whether the entry is charged to the part for small bodies. */
  isSmall: boolean;
  receivedBytes: number;
  /** Bytes charged to the account. */
  chargedBytes: number;
  /** Bytes that an entry that waits asks for in all. */
  wantedBytes: number;
  /** Time since which the body is read, in monotonic milliseconds, and the bytes that had arrived then. */
  readSinceMs: number;
  readSinceBytes: number;
  /** Time of the last byte, in monotonic milliseconds. */
  lastByteMs: number;
  /** Time of the last mark, in monotonic milliseconds. */
  markMs: number;
  markBytes: number;
  /** Time at which the wait for room began, in monotonic milliseconds. */
  waitingSinceMs: number;
}

/**
 * Decides which bodies are read into memory, and which give way.
 *
 * Small bodies have a part of the account of their own. They are read at once, and the one that has gone
 * longest without progress gives way. A large body is read only when the account has room for all of it, so
 * that each one that is begun can be completed. It gives way only if it has made no progress for a while;
 * without such a body, the next one waits unread. Complete bodies never give way.
 */
export class BodyAccount {
  /** Incomplete small bodies, the one without progress for longest first. */
  private readonly smallReading = new Set<Entry>();

  /** Incomplete large bodies that have their room, the one without progress for longest first. */
  private readonly largeReading = new Set<Entry>();

  /** Bodies that wait for room, in the order of their arrival. */
  private readonly waiting = new Set<Entry>();

  private smallByteCount = 0;

  private largeByteCount = 0;

  private answerByteCount = 0;

  private heldByteCount = 0;

  private largeCount = 0;

  /** @param bounds - Bounds of the account. */
  constructor(private readonly bounds: AccountBounds) {}

  /** Bytes of small bodies. */
  get smallBytes(): number {
    return this.smallByteCount;
  }

  /** Bytes reserved for large bodies, including those that haven't arrived yet. */
  get largeBytes(): number {
    return this.largeByteCount;
  }

  /** Bytes of answers that callers haven't read. */
  get answerBytes(): number {
    return this.answerByteCount;
  }

  /** Estimate of the bytes that wait on connections that aren't read. */
  get heldBytes(): number {
    return this.heldByteCount;
  }

  /** Number of bodies that wait for room. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Bytes for which the bodies that wait need room. */
  get wantedBytes(): number {
    let bytes = 0;
    this.waiting.forEach((entry) => {
      bytes += entry.wantedBytes - entry.chargedBytes;
    });
    return bytes;
  }

  /** Number of bodies of which bytes are missing. */
  get incompleteCount(): number {
    return this.smallReading.size + this.largeReading.size + this.waiting.size;
  }

  /** Whether others need memory that stalled callers hold. */
  get isShort(): boolean {
    return this.waiting.size > 0 || this.freeGeneralBytes < 0;
  }

  /** Whether so much of the account is unread answers that no more requests may be passed on. */
  get hasTooManyAnswers(): boolean {
    return this.answerByteCount > this.bounds.memoryBytes * maxAnswerShare;
  }

  /** Whether callers hold clearly more than the account allows. */
  private get isOverfull(): boolean {
    return this.freeGeneralBytes < -this.overdraftBytes;
  }

  /**
   * Adds a body whose head was read.
   *
   * @param announcement - What the head says.
   * @param owner - Receives later decisions.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The entry, whose state tells whether the body may be read; undefined if the body must be refused
   *   because too many wait already.
   */
  open(announcement: BodyAnnouncement, owner: IBodyOwner, nowMs: number): BodyEntry | undefined {
    const { declaredBytes } = announcement;
    const isSmall = declaredBytes === undefined || declaredBytes <= this.bounds.smallBodyBytes;
    const entry: Entry = {
      owner,
      announcement,
      state: BodyState.Reading,
      isPaced: false,
      isSmall,
      receivedBytes: 0,
      chargedBytes: 0,
      wantedBytes: 0,
      readSinceMs: nowMs,
      readSinceBytes: 0,
      lastByteMs: nowMs,
      markMs: nowMs,
      markBytes: 0,
      waitingSinceMs: nowMs,
    };
    if (isSmall) {
      this.smallReading.add(entry);
    } else {
      this.largeCount += 1;
      this.largeReading.add(entry);
      if (!this.reserve(entry, declaredBytes, nowMs)) {
        this.end(entry);
        return undefined;
      }
    }
    return entry;
  }

  /**
   * Records bytes that have arrived. They are in memory already, so they are charged in any case.
   *
   * @param handle - Entry of the body.
   * @param bytes - Number of bytes.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns False if no more may be read until the owner's `onResume`.
   */
  receive(handle: BodyEntry, bytes: number, nowMs: number): boolean {
    const entry = handle as Entry;
    if (entry.state !== BodyState.Reading && entry.state !== BodyState.Waiting) {
      return true;
    }
    entry.receivedBytes += bytes;
    this.recordProgress(entry, nowMs);
    if (entry.isSmall && entry.receivedBytes > this.bounds.smallBodyBytes) {
      this.makeLarge(entry);
    }
    if (entry.isSmall) {
      this.charge(entry, entry.receivedBytes);
      this.evictSmall(entry);
    } else if (entry.receivedBytes > entry.chargedBytes) {
      const wantedBytes = Math.min(
        Math.max(minCommittedBytes, 2 * entry.receivedBytes),
        Math.max(entry.announcement.maxBytes, entry.receivedBytes),
      );
      this.charge(entry, entry.receivedBytes);
      if (!this.reserve(entry, wantedBytes, nowMs)) {
        this.refuse(entry, IntakeCut.BodyNoRoom);
      }
    }
    return entry.state !== BodyState.Waiting;
  }

  /**
   * Records that a body is complete.
   *
   * @param handle - Entry of the body.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  complete(handle: BodyEntry, nowMs: number): void {
    const entry = handle as Entry;
    if (entry.state === BodyState.Ended) {
      return;
    }
    entry.state = BodyState.Complete;
    this.removeFromQueues(entry);
    this.charge(entry, entry.receivedBytes);
    this.admitWaiting(nowMs);
  }

  /**
   * Releases the memory of a body.
   *
   * @param handle - Entry of the body.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  close(handle: BodyEntry, nowMs: number): void {
    const entry = handle as Entry;
    if (entry.state === BodyState.Ended) {
      return;
    }
    this.end(entry);
    this.admitWaiting(nowMs);
  }

  /**
   * Changes the memory of unread answers. Answers that are ready are delivered, so that they are charged in
   * any case; the room of bodies shrinks instead.
   *
   * @param deltaBytes - Change in bytes.
   */
  chargeAnswers(deltaBytes: number): void {
    this.answerByteCount += deltaBytes;
  }

  /**
   * Changes the memory of bytes that wait on connections that aren't read.
   *
   * @param deltaBytes - Change in bytes.
   */
  chargeHeld(deltaBytes: number): void {
    this.heldByteCount += deltaBytes;
  }

  /**
   * Refuses bodies that have stalled, are late or have waited too long, and admits those for which there is
   * room. To be called several times in each `yieldMs`.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  sweep(nowMs: number): void {
    this.refuseStalled(this.smallReading, nowMs);
    this.refuseStalled(this.largeReading, nowMs);
    [...this.waiting].forEach((entry) => {
      const { deadlineMs, maxWaitMs } = entry.announcement;
      if (nowMs >= deadlineMs) {
        this.refuse(entry, IntakeCut.BodyLate);
      } else if (nowMs - entry.waitingSinceMs >= maxWaitMs) {
        this.refuse(entry, IntakeCut.BodyNoRoom);
      }
    });
    this.admitWaiting(nowMs);
  }

  private get overdraftBytes(): number {
    return this.bounds.memoryBytes * overdraftShare;
  }

  private get freeGeneralBytes(): number {
    const { memoryBytes, smallBodyMemoryBytes } = this.bounds;
    const smallOverflow = Math.max(0, this.smallByteCount - smallBodyMemoryBytes);
    return (
      memoryBytes -
      smallBodyMemoryBytes -
      smallOverflow -
      this.largeByteCount -
      this.answerByteCount -
      this.heldByteCount
    );
  }

  private recordProgress(entry: Entry, nowMs: number): void {
    entry.lastByteMs = nowMs;
    if (entry.receivedBytes - entry.markBytes < this.bounds.progressMarkBytes) {
      return;
    }
    entry.markBytes = entry.receivedBytes;
    this.mark(entry, nowMs);
  }

  /** Moves an entry to the end of the order in which entries give way. */
  private mark(entry: Entry, nowMs: number): void {
    entry.markMs = nowMs;
    const queue = entry.isSmall ? this.smallReading : this.largeReading;
    if (queue.delete(entry)) {
      queue.add(entry);
    }
  }

  private makeLarge(entry: Entry): void {
    this.charge(entry, 0);
    entry.isSmall = false;
    this.largeCount += 1;
    if (this.smallReading.delete(entry)) {
      this.largeReading.add(entry);
    }
  }

  /** Reserves room for a large body, or makes it wait; returns false if it must be refused. */
  private reserve(entry: Entry, wantedBytes: number, nowMs: number): boolean {
    // A body that waits may still get bytes that were read before; it needs its whole declared length.
    entry.wantedBytes = Math.max(entry.wantedBytes, wantedBytes);
    if (entry.state === BodyState.Waiting) {
      return !this.isOverfull;
    }
    // A body that is being read goes before those that haven't begun, so that it can be completed.
    const isNext = this.waiting.size === 0 || entry.receivedBytes > 0;
    if (isNext && !this.exceedsOriginShare(entry) && this.makeRoom(entry, nowMs)) {
      this.charge(entry, wantedBytes);
      return true;
    }
    if (this.isOverfull || this.waiting.size >= this.bounds.maxWaiting) {
      return false;
    }
    entry.state = BodyState.Waiting;
    entry.waitingSinceMs = nowMs;
    this.largeReading.delete(entry);
    this.waiting.add(entry);
    if (entry.announcement.origin !== undefined) {
      // Those that wait may do so for their own sender only.
      this.admitWaiting(nowMs);
    }
    return true;
  }

  private admitWaiting(nowMs: number): void {
    if (this.waiting.size === 0) {
      return;
    }
    const entries = [...this.waiting];
    const begun = entries.filter(({ receivedBytes }) => receivedBytes > 0);
    const others = entries.filter(({ receivedBytes }) => receivedBytes === 0);
    for (const entry of this.orderByOrigin([...begun, ...others])) {
      if (entry.state !== BodyState.Waiting) {
        continue;
      }
      if (this.exceedsOriginShare(entry)) {
        continue;
      }
      if (!this.makeRoom(entry, nowMs)) {
        return;
      }
      this.waiting.delete(entry);
      entry.state = BodyState.Reading;
      this.charge(entry, entry.wantedBytes);
      // The time in which nothing was read doesn't count as a stall.
      entry.lastByteMs = nowMs;
      entry.markMs = nowMs;
      entry.readSinceMs = nowMs;
      entry.readSinceBytes = entry.receivedBytes;
      this.largeReading.add(entry);
      entry.owner.onResume();
    }
  }

  /** Puts the bodies first whose senders hold least of the account; keeps the order of the others. */
  private orderByOrigin(entries: readonly Entry[]): readonly Entry[] {
    if (entries.every(({ announcement }) => announcement.origin === undefined)) {
      return entries;
    }
    const heldBytes = new Map<string | undefined, number>();
    this.largeReading.forEach(({ announcement: { origin }, chargedBytes }) =>
      heldBytes.set(origin, (heldBytes.get(origin) ?? 0) + chargedBytes),
    );
    const heldOf = ({ announcement: { origin } }: Entry) => heldBytes.get(origin) ?? 0;
    return [...entries].sort((a, b) => heldOf(a) - heldOf(b));
  }

  /**
   * Returns whether the sender of a body would hold more than its share, so that its bodies have to take turns.
   * One body of each sender may be read in any case.
   */
  private exceedsOriginShare(entry: Entry): boolean {
    const { origin } = entry.announcement;
    if (origin === undefined) {
      return false;
    }
    const isOther = (other: Entry) => other !== entry && other.announcement.origin === origin;
    const reading = [...this.largeReading].filter(isOther);
    const heldBytes = [...reading, ...[...this.waiting].filter(isOther)].reduce(
      (total, { chargedBytes }) => total + chargedBytes,
      0,
    );
    const { memoryBytes, smallBodyMemoryBytes } = this.bounds;
    const share = (memoryBytes - smallBodyMemoryBytes) * maxOriginShare;
    return reading.length > 0 && heldBytes + entry.wantedBytes > share;
  }

  /** Returns whether there is room for what an entry wants, after stalled bodies have given way. */
  private makeRoom(entry: Entry, nowMs: number): boolean {
    const neededBytes = entry.wantedBytes - entry.chargedBytes;
    // A body that is alone fits in any case, however small the account is. So does one beside bodies that all wait:
    // they keep what they have until another one ends.
    if (neededBytes <= this.freeGeneralBytes || this.isOnlyActive(entry)) {
      return true;
    }
    const yielding: Entry[] = [];
    let yieldedBytes = 0;
    for (const other of this.largeReading) {
      if (other !== entry && this.givesWay(other, nowMs)) {
        yielding.push(other);
        yieldedBytes += other.chargedBytes;
      }
      if (neededBytes <= this.freeGeneralBytes + yieldedBytes) {
        yielding.forEach((each) => this.refuse(each, IntakeCut.BodyYielded));
        return true;
      }
    }
    return false;
  }

  /** Returns whether a body has made too little progress, or can't be complete in time at its present rate. */
  private givesWay(entry: Entry, nowMs: number): boolean {
    const { yieldMs } = this.bounds;
    if (nowMs - entry.markMs >= yieldMs) {
      return true;
    }
    const { declaredBytes, neededByMs = Infinity } = entry.announcement;
    const readMs = nowMs - entry.readSinceMs;
    if (declaredBytes === undefined || neededByMs === Infinity || readMs < yieldMs) {
      return false;
    }
    const bytesPerMs = (entry.receivedBytes - entry.readSinceBytes) / readMs;
    return nowMs + (declaredBytes - entry.receivedBytes) / bytesPerMs > neededByMs;
  }

  /** Returns whether every other large body waits. */
  private isOnlyActive(entry: Entry): boolean {
    return this.largeCount - this.waiting.size === (this.waiting.has(entry) ? 0 : 1);
  }

  /** Lets the small bodies without progress for longest give way until the small ones fit. */
  private evictSmall(newest: Entry): void {
    const { smallBodyMemoryBytes } = this.bounds;
    for (const entry of this.smallReading) {
      if (this.smallByteCount <= smallBodyMemoryBytes || this.freeGeneralBytes >= 0) {
        return;
      }
      if (entry !== newest && entry.chargedBytes > 0) {
        this.refuse(entry, IntakeCut.BodyYielded);
      }
    }
    if (this.smallByteCount > smallBodyMemoryBytes && this.freeGeneralBytes < 0) {
      this.refuse(newest, IntakeCut.BodyNoRoom);
    }
  }

  private refuseStalled(entries: Iterable<Entry>, nowMs: number): void {
    for (const entry of entries) {
      if (nowMs >= entry.announcement.deadlineMs) {
        this.refuse(entry, IntakeCut.BodyLate);
      } else if (entry.isPaced) {
        entry.lastByteMs = nowMs;
      } else if (nowMs - entry.lastByteMs >= this.bounds.stallMs) {
        this.refuse(entry, IntakeCut.BodyStalled);
      }
    }
  }

  private refuse(entry: Entry, reason: IntakeCut): void {
    this.end(entry);
    entry.owner.onRefuse(reason);
  }

  private end(entry: Entry): void {
    this.removeFromQueues(entry);
    this.charge(entry, 0);
    if (!entry.isSmall) {
      this.largeCount -= 1;
    }
    entry.state = BodyState.Ended;
  }

  private removeFromQueues(entry: Entry): void {
    this.smallReading.delete(entry);
    this.largeReading.delete(entry);
    this.waiting.delete(entry);
  }

  private charge(entry: Entry, bytes: number): void {
    const deltaBytes = bytes - entry.chargedBytes;
    entry.chargedBytes = bytes;
    if (entry.isSmall) {
      this.smallByteCount += deltaBytes;
    } else {
      this.largeByteCount += deltaBytes;
    }
  }
}
