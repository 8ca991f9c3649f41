import type { IClock } from '../../base/common/clock.js';
import { LogLevel, type ILogger } from '../../base/common/logger.js';
import { SampledLogger } from '../../base/common/sampledLogger.js';
import {
  SchedulingOutcome,
  type SchedulingDecision,
} from '../scheduling/common/serviceScheduler.js';
import type { GatewayMetrics } from './gatewayMetrics.js';

/** Maximum number of lines per second; several hundred requests a second may be refused. */
const maxLinesPerSecond = 20;

/** Number of ranks of a service that metrics name; the others are counted together. */
const maxRankLabels = 24;

const otherRanks = 'other';

/** Reports decisions about requests that have a rank to the log and the metrics. */
export class SchedulingReporter {
  private readonly logger: ILogger;

  private readonly ranks = new Set<string>();

  /**
   * @param metrics - Counts the decisions.
   * @param logger - Receives a line for each decision other than an admission at once.
   * @param clock - Source of time.
   */
  constructor(
    private readonly metrics: GatewayMetrics,
    logger: ILogger,
    clock: IClock,
  ) {
    this.logger = new SampledLogger(logger, maxLinesPerSecond, clock);
  }

  /** Reports a decision. */
  report(decision: SchedulingDecision): void {
    const { service, outcome, rank } = decision;
    const labels = { service, outcome, rank: this.labelOf(rank) };
    this.metrics.schedulingDecisions.inc(labels);
    if (decision.isReturn) {
      this.metrics.returnedRequests.inc(labels);
    }
    const hasWaited = Math.round(decision.waitedMs) > 0;
    if (outcome !== SchedulingOutcome.Admitted || hasWaited) {
      this.logger.log(LogLevel.Info, 'request-scheduled', {
        service,
        outcome,
        rank,
        organisation: decision.organisation,
        waitedMs: Math.round(decision.waitedMs),
        headroom: toRounded(decision.headroomShare),
        served: toRounded(decision.servedShare),
        viewAgeMs: Math.round(decision.viewAgeMs),
        cameBack: decision.isReturn,
      });
    }
  }

  private labelOf(rank: string): string {
    if (this.ranks.size < maxRankLabels) {
      this.ranks.add(rank);
    }
    return this.ranks.has(rank) ? rank : otherRanks;
  }
}

function toRounded(share: number): number {
  return Math.round(share * 1_000) / 1_000;
}
