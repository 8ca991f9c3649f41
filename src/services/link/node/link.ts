import type { Socket } from 'node:net';
import { Packr } from 'msgpackr';
import type { WebSocket } from 'ws';
import { Emitter } from '../../../base/common/event.js';
import { AnswerCut } from '../../exchange/common/answerCut.js';
import type { AnswerIntake } from '../../exchange/node/answerIntake.js';
import { divideIntoBatches } from '../common/batches.js';
import {
  MessageKind,
  type HeartbeatMessage,
  type HelloMessage,
  type LinkMessage,
} from '../common/messages.js';
import { LinkReader, type ILinkReceiver } from './linkReader.js';

/** Heartbeat interval and deadline of a link. */
export interface LinkTiming {
  /** Interval between heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  /** Time without any message after which the peer is considered lost, in milliseconds. */
  readonly deadlineMs: number;
}

/** Size of the send buffer beyond which the link is closed because its peer reads too slowly. */
const maxBufferedBytes = 8 * 1_048_576;

/** Reason why a link ended. */
export enum LinkEndReason {
  /** Either side closed the connection, or the connection failed. */
  Closed = 'closed',
  /** Nothing was received within the heartbeat deadline. */
  HeartbeatTimeout = 'silent',
  /** The send buffer exceeded its limit. */
  Overflow = 'overflow',
  /** The peer sent something that is no frame of valid messages. */
  Protocol = 'protocol',
  /** A frame was too large, or its peer sent too little of it while others needed the memory. */
  GivenUp = 'given-up',
}

/** Web socket that carries a link. */
export interface LinkSocket {
  /** Open web socket, of which nothing was received. */
  readonly socket: WebSocket;
  /** Connection of the web socket. */
  readonly connection: Socket;
  /** Size of the largest frame, in bytes. */
  readonly maxFrameBytes: number;
  /** Bounds what all links make the process hold together; not bounded if undefined. */
  readonly answers?: AnswerIntake;
}

/**
 * Connection to another process of the system.
 *
 * Messages that are queued in the same turn of the event loop are sent in one frame. Each direction
 * has its own MessagePack codec, which transmits each record structure only once.
 */
export class Link implements ILinkReceiver {
  private readonly socket: WebSocket;

  private readonly reader: LinkReader;

  private readonly encoder = new Packr({ sequential: true });

  private readonly messageEmitter = new Emitter<LinkMessage>();

  private readonly endEmitter = new Emitter<LinkEndReason>();

  private readonly heartbeatTimer: NodeJS.Timeout;

  private outbox: LinkMessage[] = [];

  private lastReceivedMs = performance.now();

  private isEnded = false;

  /** The peer's hello; undefined until it has arrived. */
  peer: HelloMessage | undefined;

  /** Fires for every received message, including the hello. */
  readonly onDidReceive = this.messageEmitter.event;

  /** Fires once, when the link ends. */
  readonly onDidEnd = this.endEmitter.event;

  /**
   * @param linkSocket - Open web socket; the link takes ownership of it.
   * @param timing - Heartbeat interval and deadline.
   * @param createHeartbeat - Creates the heartbeat that is sent next.
   */
  constructor(
    { socket, connection, maxFrameBytes, answers }: LinkSocket,
    private readonly timing: LinkTiming,
    private readonly createHeartbeat: () => HeartbeatMessage,
  ) {
    this.socket = socket;
    this.reader = new LinkReader(socket, connection, maxFrameBytes, this, answers);
    socket.on('close', () => this.end(LinkEndReason.Closed));
    socket.on('error', () => this.end(LinkEndReason.Closed));
    this.heartbeatTimer = setInterval(() => this.onHeartbeatTimer(), timing.heartbeatMs);
  }

  /** True until the link ends. */
  get isOpen(): boolean {
    return !this.isEnded;
  }

  /**
   * Queues a message, which is sent at the end of the current turn of the event loop. Does nothing
   * once the link has ended.
   *
   * @param message - Message to send.
   */
  send(message: LinkMessage): void {
    if (this.isEnded) {
      return;
    }
    if (this.outbox.length === 0) {
      setImmediate(() => this.flush());
    }
    this.outbox.push(message);
  }

  /** Sends the queued messages and closes the link. */
  close(): void {
    if (!this.isEnded) {
      this.flush();
      this.socket.close();
      this.end(LinkEndReason.Closed);
    }
  }

  onMessages(messages: readonly LinkMessage[]): void {
    this.lastReceivedMs = performance.now();
    for (const message of messages) {
      if (message.kind === MessageKind.Hello) {
        this.peer = message;
      }
      this.messageEmitter.fire(message);
    }
  }

  onFault(reason: AnswerCut): void {
    const isProtocol = reason === AnswerCut.Malformed || reason === AnswerCut.Framing;
    this.end(isProtocol ? LinkEndReason.Protocol : LinkEndReason.GivenUp);
  }

  private flush(): void {
    if (this.isEnded || this.outbox.length === 0) {
      return;
    }
    const messages = this.outbox;
    this.outbox = [];
    divideIntoBatches(messages).forEach((batch) => this.socket.send(this.encoder.pack(batch)));
    if (this.socket.bufferedAmount > maxBufferedBytes) {
      this.end(LinkEndReason.Overflow);
    }
  }

  private onHeartbeatTimer(): void {
    if (this.reader.isHeld) {
      this.lastReceivedMs = performance.now();
    } else if (performance.now() - this.lastReceivedMs > this.timing.deadlineMs) {
      this.end(LinkEndReason.HeartbeatTimeout);
      return;
    }
    this.send(this.createHeartbeat());
  }

  private end(reason: LinkEndReason): void {
    if (this.isEnded) {
      return;
    }
    this.isEnded = true;
    clearInterval(this.heartbeatTimer);
    this.reader.close();
    if (reason !== LinkEndReason.Closed) {
      this.socket.terminate();
    }
    this.endEmitter.fire(reason);
    this.messageEmitter.close();
    this.endEmitter.close();
  }
}
