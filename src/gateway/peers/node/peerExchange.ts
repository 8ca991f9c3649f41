import { createSocket, type Socket } from 'node:dgram';
import { pack, unpack } from 'msgpackr';
import { toErrorMessage } from '../../../base/common/errors.js';
import { LogLevel, type ILogger } from '../../../base/common/logger.js';
import type { CancelTimer, IClock, ITimers } from '../../../base/common/clock.js';
import { fromWire, toWire, type PeerMessage } from '../common/peerMessage.js';

/** Where a peer listens. */
export interface PeerAddress {
  readonly instance: string;
  readonly host: string;
  readonly port: number;
}

/** Least pause between messages to each peer, in milliseconds; half the lag of endpoints' reports. */
const minSendMs = 100;

/** Messages to all peers a second; as many come, and a quarter of a core handles them beside callers. */
const maxMessagesPerSecond = 160;

const millisecondsPerSecond = 1_000;

/** Silence after which a peer no longer counts, in milliseconds. */
const aliveMs = 2_000;

/**
 * Tells peers what this gateway has reserved and hears the same of them.
 *
 * Datagrams suit it: each message replaces the one before, a lost one is made up for at once, and
 * no connection can fall silent unseen.
 */
export class PeerExchange {
  private readonly peers = new Map<string, PeerAddress>();

  private readonly heardMs = new Map<string, number>();

  private socket: Socket | undefined;

  private cancelTimer: CancelTimer | undefined;

  /**
   * @param self - Where this gateway listens.
   * @param compose - Makes the message to send.
   * @param receive - Takes a peer's message.
   * @param clock - Source of time and timers.
   * @param logger - Receives lost and regained peers.
   */
  constructor(
    private readonly self: PeerAddress,
    private readonly compose: () => PeerMessage,
    private readonly receive: (message: PeerMessage) => void,
    private readonly clock: IClock & ITimers,
    private readonly logger: ILogger,
  ) {}

  /** Gateways that were heard of lately, this one included. */
  get aliveCount(): number {
    return 1 + this.heardMs.size;
  }

  /**
   * Starts to listen and to send.
   *
   * @returns The port; the one of the settings unless that is 0.
   */
  async start(): Promise<number> {
    const socket = createSocket({ type: 'udp4', reuseAddr: false });
    this.socket = socket;
    socket.on('error', (err) => {
      this.logger.log(LogLevel.Warn, 'peer-socket-failed', { reason: err.message });
    });
    socket.on('message', (bytes) => this.onMessage(bytes));
    await new Promise<void>((resolve) => {
      socket.once('listening', resolve);
      socket.bind(this.self.port, this.self.host);
    });
    this.schedule();
    return socket.address().port;
  }

  /**
   * Adds a peer or its new address.
   *
   * @param peer - Where it listens.
   */
  add(peer: PeerAddress): void {
    if (peer.instance !== this.self.instance) {
      this.peers.set(peer.instance, peer);
    }
  }

  /**
   * Removes a peer.
   *
   * @param instance - Its instance.
   */
  remove(instance: string): void {
    this.peers.delete(instance);
  }

  /** Stops to send and to listen. */
  close(): void {
    this.cancelTimer?.();
    this.socket?.close();
    this.socket = undefined;
  }

  private get sendMs(): number {
    return Math.max(minSendMs, (this.peers.size * millisecondsPerSecond) / maxMessagesPerSecond);
  }

  private schedule(): void {
    this.cancelTimer = this.clock.after(this.sendMs, () => {
      this.sendAll();
      this.schedule();
    });
  }

  private sendAll(): void {
    const now = this.clock.monotonicMs();
    for (const [peer, atMs] of this.heardMs) {
      if (now - atMs > aliveMs) {
        this.heardMs.delete(peer);
        this.logger.log(LogLevel.Warn, 'peer-lost', { peer, silentMs: Math.round(now - atMs) });
      }
    }
    if (this.peers.size === 0) {
      return;
    }
    const bytes = pack(toWire(this.compose()));
    for (const { host, port } of this.peers.values()) {
      this.socket?.send(bytes, port, host, (err) => {
        if (err) {
          this.logger.log(LogLevel.Debug, 'peer-send-failed', { host, reason: err.message });
        }
      });
    }
  }

  private onMessage(bytes: Buffer): void {
    let message: PeerMessage | undefined;
    try {
      message = fromWire(unpack(bytes));
    } catch (err) {
      this.logger.log(LogLevel.Warn, 'peer-message-unreadable', { reason: toErrorMessage(err) });
      return;
    }
    if (message === undefined || message.sender === this.self.instance) {
      return;
    }
    if (!this.heardMs.has(message.sender)) {
      this.logger.log(LogLevel.Info, 'peer-heard', { peer: message.sender });
    }
    this.heardMs.set(message.sender, this.clock.monotonicMs());
    this.receive(message);
  }
}
