import type { AnswerBody } from '../../../services/exchange/node/answerBody.js';
import type {
  AnswerHead,
  ExchangeFault,
  IAnswerSink,
  IExchange,
} from '../../../services/exchange/node/endpointSender.js';

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
   * @param exchange - Keeps what can't be passed on yet.
   * @returns How to handle the body.
   */
  onHead(sendNumber: number, head: AnswerHead, exchange: IExchange): AnswerKind;
  /** Called with bytes of an event stream; returns false to apply backpressure. */
  onEvents(chunk: Buffer): boolean;
  /** Called when an event stream ended normally. */
  onComplete(): void;
  /** Called with the whole body of an answer that is not an event stream. */
  onWholeAnswer(kind: AnswerKind, head: AnswerHead, body: AnswerBody): void;
  /**
   * Called when the exchange of a send failed.
   *
   * @param sendNumber - Number of the send, counted from 1.
   * @param reason - Error message.
   * @param wasSent - Whether any byte of the request may have reached the endpoint.
   * @param fault - What failed.
   */
  onFailure(sendNumber: number, reason: string, wasSent: boolean, fault: ExchangeFault): void;
}

/**
 * Receives the answer to one send. It gives the send's number to the relay, which ignores answers to any
 * but its latest send.
 */
export class StreamAnswerSink implements IAnswerSink {
  private kind = AnswerKind.Ignored;

  private head: AnswerHead | undefined;

  /** Body of an answer that is not an event stream. */
  private body: AnswerBody | undefined;

  /**
   * @param sendNumber - Number of the send, counted from 1.
   * @param relay - Receives the answer.
   * @param maxBytes - Maximum size of an answer that is not an event stream, in bytes.
   */
  constructor(
    private readonly sendNumber: number,
    private readonly relay: IStreamReceiver,
    private readonly maxBytes: number,
  ) {}

  onHead(head: AnswerHead, exchange: IExchange): void {
    this.head = head;
    this.kind = this.relay.onHead(this.sendNumber, head, exchange);
    if (this.kind === AnswerKind.NotRun || this.kind === AnswerKind.Failure) {
      this.body = exchange.collect(this.maxBytes, true);
    }
  }

  onData(chunk: Buffer): boolean {
    if (this.kind === AnswerKind.Events) {
      return this.relay.onEvents(chunk);
    }
    this.body?.append(chunk);
    return true;
  }

  onEnd(): void {
    if (this.kind === AnswerKind.Events) {
      this.relay.onComplete();
    } else if (this.body && this.head) {
      this.relay.onWholeAnswer(this.kind, this.head, this.body);
    }
  }

  onError(reason: string, wasSent: boolean, fault: ExchangeFault): void {
    this.relay.onFailure(this.sendNumber, reason, wasSent, fault);
  }
}
