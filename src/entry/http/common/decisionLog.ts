import { LogLevel, type ILogger, type LogFields } from '../../../base/common/logger.js';

/** A logged decision about a request. */
export interface Decision {
  readonly event: string;
  readonly fields: LogFields;
}

/** Maximum number of requests whose decisions are kept. */
const maxRequests = 2_000;

/** Logger that also keeps the decisions about the most recent requests for later queries. */
export class DecisionLog implements ILogger {
  private readonly byRequest = new Map<string, Decision[]>();

  /** @param logger - Receives every log line. */
  constructor(private readonly logger: ILogger) {}

  log(level: LogLevel, event: string, fields: LogFields = {}): void {
    this.logger.log(level, event, fields);
    if (typeof fields.request === 'string') {
      this.recordDecision(fields.request, { event, fields });
    }
  }

  /**
   * Returns the decisions that were logged about a request.
   *
   * @param request - Id of the request.
   * @returns The decisions in order; empty if none are kept for the request.
   */
  explain(request: string): readonly Decision[] {
    return this.byRequest.get(request) ?? [];
  }

  private recordDecision(request: string, decision: Decision): void {
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
