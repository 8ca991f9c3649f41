import type { AnswerCut } from '../common/answerCut.js';
import type { AnswerBody } from './answerBody.js';
import {
  EndpointSender,
  ExchangeFault,
  noExchange,
  type AnswerHead,
  type EndpointSenderOptions,
  type IAnswerSink,
  type IExchange,
  type IRequestSender,
  type OutboundRequest,
} from './endpointSender.js';
import type { IClock } from '../../../base/common/clock.js';

/** How a {@link QueuedSender} opens connections, and how many requests may wait for them. */
export interface QueuedSenderOptions extends Omit<EndpointSenderOptions, 'maxConnections'> {
  /** Maximum number of exchanges with one address at the same time. */
  readonly maxExchanges: number;
  /** Maximum number of requests to one address that wait for others to end; more are refused. */
  readonly maxWaiting: number;
}

/** Requests to one address. */
interface AddressRequests {
  activeCount: number;
  readonly waiting: Set<QueuedExchange>;
}

/** Request that waits for its turn, and its exchange from then on. */
class QueuedExchange implements IExchange, IAnswerSink {
  private exchange: IExchange | undefined;

  private isOver = false;

  constructor(
    private readonly sink: IAnswerSink,
    private readonly begin: (sink: IAnswerSink) => IExchange,
    /** Called once when the exchange has ended, or the request doesn't wait any more. */
    private readonly onOver: (exchange: QueuedExchange) => void,
  ) {}

  start(): void {
    this.exchange = this.begin(this);
  }

  collect(maxBytes: number, isWholeBody: boolean): AnswerBody {
    return (this.exchange ?? noExchange).collect(maxBytes, isWholeBody);
  }

  giveUp(cut: AnswerCut, reason?: string): void {
    this.exchange?.giveUp(cut, reason);
  }

  countEvents(count: number, bytes: number): void {
    this.exchange?.countEvents(count, bytes);
  }

  resume(): void {
    this.exchange?.resume();
  }

  abort(): void {
    this.exchange?.abort();
    this.end();
  }

  onHead(head: AnswerHead): void {
    this.sink.onHead(head, this);
  }

  onData(chunk: Buffer): boolean {
    return this.sink.onData(chunk);
  }

  onEnd(): void {
    this.end();
    this.sink.onEnd();
  }

  onError(reason: string, wasSent: boolean, fault: ExchangeFault, cause?: Error): void {
    this.end();
    this.sink.onError(reason, wasSent, fault, cause);
  }

  private end(): void {
    if (!this.isOver) {
      this.isOver = true;
      this.onOver(this);
    }
  }
}

/** Sends requests in the order of their arrival, a bounded number of them at the same time. */
export class QueuedSender implements IRequestSender {
  private readonly sender: EndpointSender;

  /** Requests in progress or waiting, by address. */
  private readonly requests = new Map<string, AddressRequests>();

  private isClosed = false;

  /** Called when no request is in progress or waits any more. */
  private onIdle: (() => void) | undefined;

  /**
   * @param options - How connections are opened, and bounds.
   * @param clock - Source of time.
   */
  constructor(
    private readonly options: QueuedSenderOptions,
    clock: IClock,
  ) {
    // The connection of an aborted exchange takes a moment to close, and must not keep the next one waiting.
    this.sender = new EndpointSender({ ...options, maxConnections: Infinity }, clock);
  }

  send(address: string, req: OutboundRequest, sink: IAnswerSink): IExchange {
    const requests = this.requests.get(address) ?? { activeCount: 0, waiting: new Set() };
    const isBusy = requests.activeCount >= this.options.maxExchanges;
    if (this.isClosed || (isBusy && requests.waiting.size >= this.options.maxWaiting)) {
      const reason = this.isClosed ? 'sender is closed' : 'too many requests wait';
      queueMicrotask(() => sink.onError(reason, false, ExchangeFault.Connection));
      return noExchange;
    }
    this.requests.set(address, requests);
    const begin = (each: IAnswerSink) => this.sender.send(address, req, each);
    const exchange = new QueuedExchange(sink, begin, (each) => this.release(address, each));
    if (isBusy) {
      requests.waiting.add(exchange);
    } else {
      requests.activeCount += 1;
      exchange.start();
    }
    return exchange;
  }

  /** Closes the connections once no request is in progress or waits. */
  async closeWhenIdle(): Promise<void> {
    if (this.requests.size > 0) {
      await new Promise<void>((resolve) => {
        this.onIdle = resolve;
      });
    }
    await this.close();
  }

  /** Closes the connections immediately; the requests in progress and those that wait fail. */
  async close(): Promise<void> {
    this.isClosed = true;
    [...this.requests.values()].forEach(({ waiting }) =>
      [...waiting].forEach((each) =>
        each.onError('sender is closed', false, ExchangeFault.Connection),
      ),
    );
    await this.sender.close();
  }

  private release(address: string, exchange: QueuedExchange): void {
    const requests = this.requests.get(address);
    if (requests === undefined) {
      return;
    }
    const { waiting } = requests;
    if (!waiting.delete(exchange)) {
      requests.activeCount -= 1;
      const [next] = waiting;
      if (next !== undefined && !this.isClosed) {
        waiting.delete(next);
        requests.activeCount += 1;
        next.start();
      }
    }
    if (requests.activeCount === 0 && waiting.size === 0) {
      this.requests.delete(address);
      if (this.requests.size === 0) {
        this.onIdle?.();
      }
    }
  }
}
