import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import { pack, unpack } from 'msgpackr';
import { toErrorMessage } from '../../../base/common/errors.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import { RepeatLimitedLogger } from '../../../base/common/repeatLimitedLogger.js';
import type { CancelTimer, IClock, ITimers } from '../../../base/common/clock.js';
import {
  updateFromWire,
  updateToWire,
  type FeedUpdateMessage,
} from '../../feeds/common/feedUpdateWire.js';
import { frameBounds, FrameScanner } from '../../../services/link/common/frameScanner.js';
import { DatagramPacer } from '../common/datagramPacer.js';
import type { PeerAddress } from '../common/peerAddress.js';
import { fromWire, toWire, type PeerMessage } from '../common/peerMessage.js';

/**
 * Minimum interval between messages to each peer, in milliseconds; half the time by which the reports of
 * endpoints lag behind their state.
 */
const minSendIntervalMs = 100;

/**
 * Maximum number of messages sent per second, over all peers. About as many are received. Handling
 * them takes a quarter of a core, in addition to the requests of callers.
 */
const maxMessagesPerSecond = 160;

const millisecondsPerSecond = 1_000;

/** Time without a message after which a peer counts as lost, in milliseconds. */
const peerTimeoutMs = 2_000;

/**
 * Time without a message after which a peer counts as gone, in milliseconds. A lost one may only be cut
 * off and goes on sending requests.
 */
const goneAfterMs = 60_000;

/** Number of gateways that are heard although the store doesn't list them yet. */
const maxUnlistedPeers = 64;

/** Minimum interval between log lines about datagrams that can't be used, in milliseconds. */
const faultLogIntervalMs = 1_000;

/**
 * Exchanges the state of this gateway, such as its reservations, with its peers.
 *
 * It uses datagrams because each message replaces the one before it, so a lost one is made up for
 * by the next, and because there is no connection that could fail unnoticed.
 */
export class PeerExchange {
  private readonly peers = new Map<string, PeerAddress>();

  private readonly lastMessageMs = new Map<string, number>();

  /** Monotonic time at which each peer was last heard, or was listed if it wasn't heard yet. */
  private readonly lastSignMs = new Map<string, number>();

  private readonly pacer: DatagramPacer;

  private readonly scanner = new FrameScanner(frameBounds, false);

  private readonly faultLogger: ILogger;

  private socket: Socket | undefined;

  private cancelTimer: CancelTimer | undefined;

  /**
   * @param self - Instance name and address of this gateway.
   * @param createMessage - Returns the message to send; called once for each round of messages.
   * @param handleMessage - Called with each valid message of a peer.
   * @param handleUpdate - Called with the feed updates that a peer sent.
   * @param clock - Source of time and timers.
   * @param logger - Receives lost and newly seen peers, and failures to send or decode.
   */
  constructor(
    private readonly self: PeerAddress,
    private readonly createMessage: () => PeerMessage,
    private readonly handleMessage: (message: PeerMessage) => void,
    private readonly handleUpdate: (update: FeedUpdateMessage) => void,
    private readonly clock: IClock & ITimers,
    private readonly logger: ILogger,
  ) {
    this.pacer = new DatagramPacer(clock.monotonicMs());
    const limit = {
      event: 'peer-datagram-refused',
      subjectField: 'reason',
      intervalMs: faultLogIntervalMs,
    };
    this.faultLogger = new RepeatLimitedLogger(logger, limit, clock);
  }

  /** Number of gateways that sent a message recently, including this one. */
  get aliveCount(): number {
    return 1 + this.lastMessageMs.size;
  }

  /** Instance names of the peers that sent a message recently. */
  get aliveInstances(): readonly string[] {
    return [...this.lastMessageMs.keys()];
  }

  /** Number of gateways that the store lists, including this one and those that can't be reached. */
  get knownCount(): number {
    return 1 + this.peers.size;
  }

  /** Number of other gateways that may be running, whether they can be heard or not. */
  get possibleCount(): number {
    const oldestMs = this.clock.monotonicMs() - goneAfterMs;
    return [...this.lastSignMs.values()].filter((signMs) => signMs > oldestMs).length;
  }

  /**
   * Binds the socket and starts to send messages periodically; rejects if the address can't be bound.
   *
   * @returns The bound port, which is the configured one unless that is 0.
   */
  async start(): Promise<number> {
    const socket = createSocket({ type: 'udp4', reuseAddr: false });
    this.socket = socket;
    socket.on('error', (err) => {
      this.logger.log(LogLevel.Warn, 'peer-socket-failed', { reason: err.message });
    });
    socket.on('message', (bytes, sender) => this.onMessage(bytes, sender));
    await new Promise<void>((resolve, reject) => {
      socket.once('listening', resolve);
      socket.once('error', reject);
      socket.bind(this.self.port, this.self.host);
    });
    this.schedule();
    return socket.address().port;
  }

  /**
   * Adds a peer, or replaces its address.
   *
   * @param peer - Instance name and address of the peer.
   */
  add(peer: PeerAddress): void {
    if (peer.instance !== this.self.instance) {
      this.peers.set(peer.instance, peer);
      if (!this.lastSignMs.has(peer.instance)) {
        this.lastSignMs.set(peer.instance, this.clock.monotonicMs());
      }
    }
  }

  /**
   * Stops sending messages to a peer.
   *
   * @param instance - Instance name of the peer.
   */
  remove(instance: string): void {
    this.peers.delete(instance);
    this.lastSignMs.delete(instance);
  }

  /** Stops sending and closes the socket. */
  close(): void {
    this.cancelTimer?.();
    this.socket?.close();
    this.socket = undefined;
  }

  private get sendIntervalMs(): number {
    return Math.max(
      minSendIntervalMs,
      (this.peers.size * millisecondsPerSecond) / maxMessagesPerSecond,
    );
  }

  private schedule(): void {
    this.cancelTimer = this.clock.after(this.sendIntervalMs, () => {
      this.sendAll();
      this.schedule();
    });
  }

  private sendAll(): void {
    const now = this.clock.monotonicMs();
    for (const [peer, receivedMs] of this.lastMessageMs) {
      if (now - receivedMs > peerTimeoutMs) {
        this.lastMessageMs.delete(peer);
        this.logger.log(LogLevel.Warn, 'peer-lost', {
          peer,
          silentMs: Math.round(now - receivedMs),
        });
      }
    }
    if (this.peers.size === 0) {
      return;
    }
    this.sendToPeers(pack(toWire(this.createMessage())));
  }

  /**
   * Sends updates of feeds to all peers; datagrams may be lost.
   *
   * @param update - Updates to send.
   */
  sendUpdate(update: FeedUpdateMessage): void {
    this.sendToPeers(pack(updateToWire(update)));
  }

  private sendToPeers(bytes: Buffer): void {
    for (const { host, port } of this.peers.values()) {
      this.socket?.send(bytes, port, host, (err) => {
        if (err) {
          this.logger.log(LogLevel.Debug, 'peer-send-failed', { host, reason: err.message });
        }
      });
    }
  }

  private onMessage(bytes: Buffer, { address, port }: RemoteInfo): void {
    const sender = `${address}:${port}`;
    const startMs = this.clock.monotonicMs();
    if (!this.pacer.admits(sender, startMs)) {
      this.refuse('too-many', sender);
      return;
    }
    this.decode(bytes, sender);
    const endMs = this.clock.monotonicMs();
    this.pacer.record(sender, endMs, endMs - startMs);
  }

  /** Logs a datagram that isn't used; it counts as lost. */
  private refuse(reason: string, sender: string): void {
    this.faultLogger.log(LogLevel.Warn, 'peer-datagram-refused', { reason, sender });
  }

  private decode(bytes: Buffer, sender: string): void {
    if (!this.scanner.check(bytes)) {
      this.refuse('unreadable', sender);
      return;
    }
    let wire: unknown;
    try {
      wire = unpack(bytes);
    } catch (err) {
      this.refuse(toErrorMessage(err), sender);
      return;
    }
    try {
      this.handleWire(wire);
    } catch (err) {
      // All peers get the same message, so an error must not end the process.
      this.logger.log(LogLevel.Error, 'peer-message-failed', { reason: toErrorMessage(err) });
    }
  }

  private handleWire(wire: unknown): void {
    const update = updateFromWire(wire);
    if (update) {
      this.handleUpdate(update);
      return;
    }
    const message = fromWire(wire);
    if (message === undefined || message.sender === this.self.instance) {
      return;
    }
    if (!this.peers.has(message.sender) && !this.hasRoomFor(message.sender)) {
      return;
    }
    if (!this.lastMessageMs.has(message.sender)) {
      this.logger.log(LogLevel.Info, 'peer-heard', { peer: message.sender });
    }
    this.lastMessageMs.set(message.sender, this.clock.monotonicMs());
    this.lastSignMs.set(message.sender, this.clock.monotonicMs());
    this.handleMessage(message);
  }

  /** Returns whether a gateway that the store doesn't list is heard, after those that are gone were dropped. */
  private hasRoomFor(sender: string): boolean {
    if (this.lastSignMs.has(sender)) {
      return true;
    }
    const oldestMs = this.clock.monotonicMs() - goneAfterMs;
    const unlisted = [...this.lastSignMs].filter(([instance]) => !this.peers.has(instance));
    if (unlisted.length < maxUnlistedPeers) {
      return true;
    }
    const gone = unlisted.filter(([, signMs]) => signMs <= oldestMs);
    gone.forEach(([instance]) => this.lastSignMs.delete(instance));
    return gone.length > 0;
  }
}
