import type { AnswerHead, IAnswerSink } from './endpointSender.js';

/** What an answer's head makes of its body. */
export enum AnswerKind {
  Ignored,
  Events,
  NotRun,
  Failure,
}

/** Relay that receives the answer to one of its sends. */
export interface IStreamReceiver {
  /** Decides what the head of the answer to the send with the given number means. */
  onHead(send: number, head: AnswerHead): AnswerKind;
  /** Takes bytes of a stream; returns false to pause. */
  onEvents(chunk: Buffer): boolean;
  /** The stream ended as complete. */
  onComplete(): void;
  /** A whole answer arrived that isn't a stream. */
  onWhole(kind: AnswerKind, head: AnswerHead, body: Buffer): void;
  /** The exchange failed. */
  onFailure(send: number, reason: string, wasSent: boolean): void;
}

/** Sink of one send; later sends of the same relay ignore it. */
export class StreamRun implements IAnswerSink {
  private kind = AnswerKind.Ignored;

  private head: AnswerHead | undefined;

  private readonly chunks: Buffer[] = [];

  constructor(
    private readonly send: number,
    private readonly relay: IStreamReceiver,
  ) {}

  onHead(head: AnswerHead): void {
    this.head = head;
    this.kind = this.relay.onHead(this.send, head);
  }

  onData(chunk: Buffer): boolean {
    if (this.kind === AnswerKind.Events) {
      return this.relay.onEvents(chunk);
    }
    this.chunks.push(chunk);
    return true;
  }

  onEnd(): void {
    if (this.kind === AnswerKind.Events) {
      this.relay.onComplete();
    } else if (this.kind !== AnswerKind.Ignored && this.head) {
      this.relay.onWhole(this.kind, this.head, Buffer.concat(this.chunks));
    }
  }

  onError(reason: string, wasSent: boolean): void {
    this.relay.onFailure(this.send, reason, wasSent);
  }
}
