import type { BoundedBody } from '../../../services/exchange/common/boundedBody.js';
import type { AnswerHead, IAnswerSink } from '../../../services/exchange/node/endpointSender.js';

/** How the body of an answer is handled, decided from the answer's status and headers. */
export enum AnswerKind {
  Ignored,
  Events,
  NotRun,
  Failure,
}

/** Receives the answers to a relay's sends. */
export interface IStreamReceiver {
  /**
   * Called with the status and headers of an answer.
   *
   * @param sendNumber - Number of the send that was answered, counted from 1.
   * @param head - Status and headers.
   * @returns How to handle the body.
   */
  onHead(sendNumber: number, head: AnswerHead): AnswerKind;
  /** Called with bytes of an event stream; returns false to apply backpressure. */
  onEvents(chunk: Buffer): boolean;
  /** Called when an event stream ended normally. */
  onComplete(): void;
  /** Called with the whole body of an answer that is not an event stream. */
  onWholeAnswer(kind: AnswerKind, head: AnswerHead, body: Buffer): void;
  /**
   * Called when the body of an answer that is not an event stream exceeds the maximum size.
   *
   * @param sendNumber - Number of the send, counted from 1.
   */
  onOversizedAnswer(sendNumber: number): void;
  /**
   * Called when the exchange of a send failed.
   *
   * @param sendNumber - Number of the send, counted from 1.
   * @param reason - Error message.
   * @param wasSent - Whether any byte of the request may have reached the endpoint.
   */
  onFailure(sendNumber: number, reason: string, wasSent: boolean): void;
}

/**
 * Receives the answer to one send. It gives the send's number to the relay, which ignores answers to any
 * but its latest send.
 */
export class StreamAnswerSink implements IAnswerSink {
  private kind = AnswerKind.Ignored;

  private head: AnswerHead | undefined;

  /**
   * @param sendNumber - Number of the send, counted from 1.
   * @param relay - Receives the answer.
   * @param body - Collects the body of an answer that is not an event stream.
   */
  constructor(
    private readonly sendNumber: number,
    private readonly relay: IStreamReceiver,
    private readonly body: BoundedBody,
  ) {}

  onHead(head: AnswerHead): void {
    this.head = head;
    this.kind = this.relay.onHead(this.sendNumber, head);
  }

  onData(chunk: Buffer): boolean {
    if (this.kind === AnswerKind.Events) {
      return this.relay.onEvents(chunk);
    }
    if (this.kind !== AnswerKind.Ignored && !this.body.append(chunk)) {
      this.relay.onOversizedAnswer(this.sendNumber);
    }
    return true;
  }

  onEnd(): void {
    if (this.kind === AnswerKind.Events) {
      this.relay.onComplete();
    } else if (this.kind !== AnswerKind.Ignored && this.head) {
      this.relay.onWholeAnswer(this.kind, this.head, this.body.toBuffer());
    }
  }

  onError(reason: string, wasSent: boolean): void {
    this.relay.onFailure(this.sendNumber, reason, wasSent);
  }
}
