import { LogLevel, type ILogger, type LogFields } from '../../../base/common/logger.js';

/** A logged decision about a request. */
export interface Decision {
  readonly event: string;
  readonly fields: LogFields;
}

/** Most requests whose decisions are remembered. */
const maxRequests = 2_000;

/** Logger that also remembers the latest decisions by request, to explain them later. */
export class DecisionLog implements ILogger {
  private readonly byRequest = new Map<string, Decision[]>();

  /** @param logger - Receives every line. */
  constructor(private readonly logger: ILogger) {}

  log(level: LogLevel, event: string, fields: LogFields = {}): void {
    this.logger.log(level, event, fields);
    if (typeof fields.request === 'string') {
      this.remember(fields.request, { event, fields });
    }
  }

  /**
   * Returns the remembered decisions about a request.
   *
   * @param request - Id of the request.
   * @returns The decisions in order; empty if the request is not remembered.
   */
  explain(request: string): readonly Decision[] {
    return this.byRequest.get(request) ?? [];
  }

  private remember(request: string, decision: Decision): void {
    const decisions = this.byRequest.get(request);
    if (decisions) {
      decisions.push(decision);
      return;
    }
    this.byRequest.set(request, [decision]);
    if (this.byRequest.size > maxRequests) {
      const [oldest] = this.byRequest.keys();
      this.byRequest.delete(oldest);
    }
  }
}
