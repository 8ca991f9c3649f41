import { Packr, Unpackr } from 'msgpackr';
import type { RawData, WebSocket } from 'ws';
import { Emitter } from '../../../base/common/event.js';
import {
  MessageKind,
  type HeartbeatMessage,
  type HelloMessage,
  type LinkMessage,
} from '../common/messages.js';

/** Timing of a link's heartbeats. */
export interface LinkTiming {
  /** Interval between heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  /** Silence after which the peer counts as lost, in milliseconds. */
  readonly deadlineMs: number;
}

/** Most bytes that may wait in a link's send queue before the link is given up. */
const maxBufferedBytes = 8 * 1_048_576;

/** Why a link ended. */
export enum LinkEnd {
  Closed = 'closed',
  Silent = 'silent',
  Overflow = 'overflow',
  Protocol = 'protocol',
}

/**
 * One connection to another process of the system.
 *
 * Messages that are sent in one turn of the event loop travel in one frame. Each direction has its
 * own codec whose record structures are sent once.
 */
export class Link {
  private readonly encoder = new Packr({ sequential: true });

  private readonly decoder = new Unpackr({ sequential: true, structures: [] });

  private readonly messages = new Emitter<LinkMessage>();

  private readonly ends = new Emitter<LinkEnd>();

  private readonly timer: NodeJS.Timeout;

  private outbox: LinkMessage[] = [];

  private lastHeardMs = performance.now();

  private ended = false;

  /** First message of the peer; undefined until it arrived. */
  peer: HelloMessage | undefined;

  /** Fires for every message but the hello. */
  readonly onDidReceive = this.messages.event;

  /** Fires once, when the link ended. */
  readonly onDidEnd = this.ends.event;

  /**
   * @param socket - An open web socket; owned by the link from now on.
   * @param timing - Heartbeat interval and deadline.
   * @param heartbeat - Makes the next heartbeat.
   */
  constructor(
    private readonly socket: WebSocket,
    private readonly timing: LinkTiming,
    private readonly heartbeat: () => HeartbeatMessage,
  ) {
    socket.on('message', (data) => this.receive(data));
    socket.on('close', () => this.end(LinkEnd.Closed));
    socket.on('error', () => this.end(LinkEnd.Closed));
    this.timer = setInterval(() => this.tick(), timing.heartbeatMs);
  }

  /** True until the link ended. */
  get open(): boolean {
    return !this.ended;
  }

  /**
   * Queues a message; it is sent at the end of this turn of the event loop.
   *
   * @param message - The message.
   */
  send(message: LinkMessage): void {
    if (this.ended) {
      return;
    }
    if (this.outbox.length === 0) {
      setImmediate(() => this.flush());
    }
    this.outbox.push(message);
  }

  /** Sends what is queued and closes the link. */
  close(): void {
    if (!this.ended) {
      this.flush();
      this.socket.close();
      this.end(LinkEnd.Closed);
    }
  }

  private flush(): void {
    if (this.ended || this.outbox.length === 0) {
      return;
    }
    const batch = this.outbox;
    this.outbox = [];
    this.socket.send(this.encoder.pack(batch));
    if (this.socket.bufferedAmount > maxBufferedBytes) {
      this.end(LinkEnd.Overflow);
    }
  }

  private receive(data: RawData): void {
    this.lastHeardMs = performance.now();
    let batch: LinkMessage[];
    try {
      batch = this.decoder.unpack(data as Buffer) as LinkMessage[];
    } catch {
      this.end(LinkEnd.Protocol);
      return;
    }
    for (const message of batch) {
      if (message.kind === MessageKind.Hello) {
        this.peer = message;
      }
      this.messages.fire(message);
    }
  }

  private tick(): void {
    if (performance.now() - this.lastHeardMs > this.timing.deadlineMs) {
      this.end(LinkEnd.Silent);
      return;
    }
    this.send(this.heartbeat());
  }

  private end(reason: LinkEnd): void {
    if (this.ended) {
      return;
    }
    this.ended = true;
    clearInterval(this.timer);
    if (reason !== LinkEnd.Closed) {
      this.socket.terminate();
    }
    this.ends.fire(reason);
    this.messages.close();
    this.ends.close();
  }
}
