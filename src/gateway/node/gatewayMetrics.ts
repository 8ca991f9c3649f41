import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import { AnswerCut } from '../../services/exchange/common/answerCut.js';
import type { AnswerIntake } from '../../services/exchange/node/answerIntake.js';
import { IntakeCut } from '../../services/intake/common/intakeCut.js';
import type { CallerIntake } from '../../services/intake/node/callerIntake.js';
import type { DemandSummary } from '../scheduling/common/demandSummary.js';
import { rankName } from '../scheduling/common/requestRank.js';

/** Number of organisations of a service that metrics name. */
const maxOrganisationLabels = 10;

/**
 * Upper bounds of the latency buckets, in milliseconds; the objectives lie between 150 and 500 ms.
 */
const latencyBuckets = [
  5, 10, 25, 50, 100, 150, 200, 300, 400, 500, 750, 1_000, 2_000, 5_000, 20_000,
];

/** Metrics of a gateway, served in the Prometheus text format at its metrics address. */
export class GatewayMetrics {
  readonly registry = new Registry();

  /** Answers to callers by kind of route, status and source. */
  readonly answers = new Counter({
    name: 'ibisspar_answers_total',
    help: 'Answers to callers',
    labelNames: ['kind', 'status', 'source'],
    registers: [this.registry],
  });

  /** Time until the first event of a stream, or until the complete answer of a plain request. */
  readonly latency = new Histogram({
    name: 'ibisspar_answer_latency_ms',
    help: 'Time to the first event of a stream or to the complete answer, in milliseconds',
    labelNames: ['kind'],
    buckets: latencyBuckets,
    registers: [this.registry],
  });

  /** Time until the first event of a stream by the size class of its prompt. */
  readonly firstEvent = new Histogram({
    name: 'ibisspar_first_event_ms',
    help: 'Time to the first event of a stream by the size of its prompt, in milliseconds',
    labelNames: ['size'],
    buckets: latencyBuckets,
    registers: [this.registry],
  });

  /** Time for which long prompts were held back; prompts that were not held aren't counted. */
  readonly promptHolds = new Histogram({
    name: 'ibisspar_prompt_hold_ms',
    help: 'Time for which long prompts were held back, in milliseconds',
    buckets: latencyBuckets,
    registers: [this.registry],
  });

  /** Longest pause between two events, recorded once for each stream. */
  readonly longestPause = new Histogram({
    name: 'ibisspar_stream_longest_pause_ms',
    help: 'Longest pause between events of a stream, in milliseconds',
    buckets: latencyBuckets,
    registers: [this.registry],
  });

  /** Requests that were sent again, by the reason for the retry. */
  readonly retries = new Counter({
    name: 'ibisspar_repeated_sends_total',
    help: 'Requests that were sent again',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  /** Requests that the gateway refused, by reason. */
  readonly refusals = new Counter({
    name: 'ibisspar_refusals_total',
    help: 'Requests that were not admitted',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  /** Decisions about requests that have a rank, by what became of them. */
  readonly schedulingDecisions = new Counter({
    name: 'ibisspar_scheduling_decisions_total',
    help: 'Requests with a rank that were admitted, were refused, or yielded their place',
    labelNames: ['service', 'rank', 'outcome'],
    registers: [this.registry],
  });

  /** Decisions about requests whose callers came back at the time that a refusal had told them. */
  readonly returnedRequests = new Counter({
    name: 'ibisspar_returned_requests_total',
    help: 'Requests that came back at the time that Retry-After had told',
    labelNames: ['service', 'rank', 'outcome'],
    registers: [this.registry],
  });

  /** Answers of endpoints that were broken off here, by reason. */
  readonly brokenAnswers = new Counter({
    name: 'ibisspar_broken_answers_total',
    help: 'Answers of endpoints that the gateway broke off',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  /** Delay of a periodic timer, which shows for how long the event loop was held up. */
  readonly timerDelay = new Histogram({
    name: 'ibisspar_timer_delay_ms',
    help: 'Delay of a periodic timer, in milliseconds',
    buckets: latencyBuckets,
    registers: [this.registry],
  });

  /** Errors that no code has handled, by kind. */
  readonly unforeseenErrors = new Counter({
    name: 'ibisspar_unforeseen_errors_total',
    help: 'Exceptions and rejections that no code has handled, by kind',
    labelNames: ['kind'],
    registers: [this.registry],
  });

  /** Answers to callers that this gateway broke off, by reason and whether a status was sent. */
  readonly cutAnswers = new Counter({
    name: 'ibisspar_cut_answers_total',
    help: 'Answers to callers that the gateway broke off',
    labelNames: ['reason', 'status'],
    registers: [this.registry],
  });

  /** Retries that the budget of their service denied, by what the retry was for. */
  readonly deniedRetries = new Counter({
    name: 'ibisspar_denied_retries_total',
    help: 'Retries that the retry budget denied',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  /** Crashes of endpoints that were found after they lost runs of this gateway. */
  readonly endpointCrashes = new Counter({
    name: 'ibisspar_endpoint_crashes_total',
    help: 'Crashes of endpoints that lost runs of this gateway',
    registers: [this.registry],
  });

  /** Calls to the platform's store by outcome: the HTTP status, or a failure without an answer. */
  readonly storeCalls = new Counter({
    name: 'ibisspar_store_calls_total',
    help: 'Calls to the store',
    labelNames: ['outcome'],
    registers: [this.registry],
  });

  /** Returns of the store from an older copy of itself that this gateway noticed. */
  readonly eraChanges = new Counter({
    name: 'ibisspar_store_era_changes_total',
    help: 'Returns of the store from an older copy',
    registers: [this.registry],
  });

  /** Log lines that were dropped because the reader is too slow, and write errors of the log. */
  readonly droppedLines = new Counter({
    name: 'ibisspar_log_lines_dropped_total',
    help: 'Log lines that were dropped',
    registers: [this.registry],
  });

  /** Version of the current configuration. */
  readonly configVersion = new Gauge({
    name: 'ibisspar_config_version',
    help: 'Version of the current configuration',
    registers: [this.registry],
  });

  /** Callers that were refused or cut for the sake of the process or of other callers, by reason. */
  readonly callerCuts = new Counter({
    name: 'ibisspar_caller_cuts_total',
    help: 'Callers that were refused or cut because they hold too much or make no progress',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  /** Reads the age of the copy of each feed, in milliseconds. */
  private readonly feedAges = new Map<string, () => number>();

  /** Time since each copy of the store was confirmed to be current, in milliseconds. */
  readonly feedAge: Gauge = new Gauge({
    name: 'ibisspar_feed_age_ms',
    help: 'Time since the copy of a kind of object was confirmed to be current, in milliseconds',
    labelNames: ['feed'],
    registers: [this.registry],
    collect: () => this.feedAges.forEach((read, feed) => this.feedAge.set({ feed }, read())),
  });

  /** Reads of the store after updates that lacked a change, by whether the cheaper one was recent enough. */
  readonly feedCatchUps = new Counter({
    name: 'ibisspar_feed_catch_ups_total',
    help: 'Reads of the store for changes that the updates lacked',
    labelNames: ['feed', 'read'],
    registers: [this.registry],
  });

  /**
   * Registers a gauge of the requests of which a crash is on record.
   *
   * @param countSuspects - Returns their number; called each time the metrics are read.
   */
  observeSuspects(countSuspects: () => number): void {
    this.observe(
      'ibisspar_suspect_requests',
      'Requests and parts of prompts under which an endpoint crashed',
      countSuspects,
    );
  }

  /**
   * Registers a gauge of the parts of prompts that are quarantined.
   *
   * @param countParts - Returns their number; called each time the metrics are read.
   */
  observeQuarantinedParts(countParts: () => number): void {
    this.observe('ibisspar_quarantined_parts', 'Parts of prompts that are quarantined', countParts);
  }

  /**
   * Registers a gauge of the endpoints that name a limit.
   *
   * @param countLimited - Returns their number; called each time the metrics are read.
   */
  observeLimitedEndpoints(countLimited: () => number): void {
    this.observe('ibisspar_limited_endpoints', 'Endpoints that name a limit', countLimited);
  }

  /**
   * Registers a gauge of the endpoints that want no requests of this gateway for a while.
   *
   * @param countPaused - Returns their number; called each time the metrics are read.
   */
  observePausedEndpoints(countPaused: () => number): void {
    this.observe('ibisspar_paused_endpoints', 'Endpoints that want no requests', countPaused);
  }

  /**
   * Registers a gauge of the age of a gateway's copy of the store.
   *
   * @param feed - Name of the feed that keeps the copy.
   * @param readAgeMs - Returns the time since the copy was last confirmed to be current, in milliseconds;
   *   called each time the metrics are read.
   */
  observeFeedAge(feed: string, readAgeMs: () => number): void {
    this.feedAges.set(feed, readAgeMs);
  }

  /**
   * Registers a gauge of the role of this gateway towards the store.
   *
   * @param isWatcher - Whether it watches the store for others; called each time the metrics are read.
   */
  observeFeedWatcher(isWatcher: () => boolean): void {
    this.observe('ibisspar_feed_watcher', 'Whether this gateway watches the store for others', () =>
      Number(isWatcher()),
    );
  }

  /**
   * Registers gauges of the waiting requests by rank, and of the organisations with the highest demand.
   *
   * @param readDemand - Returns the demand by service; called each time the metrics are read.
   */
  observeDemand(readDemand: () => readonly DemandSummary[]): void {
    const waiting: Gauge = new Gauge({
      name: 'ibisspar_waiting_requests',
      help: 'Requests that wait, by rank',
      labelNames: ['service', 'rank'],
      registers: [this.registry],
      collect: () => {
        waiting.reset();
        readDemand().forEach(({ service, ranks }) =>
          ranks.forEach((rank) => waiting.set({ service, rank: rankName(rank) }, rank.waiting)),
        );
      },
    });
    const recent: Gauge = new Gauge({
      name: 'ibisspar_organisation_requests',
      help: 'Requests of the ten organisations with the highest demand: those that wait, and those that were admitted or refused within four seconds',
      labelNames: ['service', 'organisation', 'priority', 'state'],
      registers: [this.registry],
      collect: () => {
        recent.reset();
        readDemand().forEach(({ service, organisations }) =>
          organisations.slice(0, maxOrganisationLabels).forEach((use) => {
            const labels = { service, organisation: use.organisation, priority: use.first };
            recent.set({ ...labels, state: 'waiting' }, use.waiting);
            recent.set({ ...labels, state: 'admitted' }, use.admitted);
            recent.set({ ...labels, state: 'refused' }, use.refused);
          }),
        );
      },
    });
  }

  /**
   * Registers a gauge of the requests in flight.
   *
   * @param countInFlight - Returns the number of requests; called each time the metrics are read.
   */
  observeInFlight(countInFlight: () => number): void {
    this.observe('ibisspar_requests_in_flight', 'Requests in flight', countInFlight);
  }

  /**
   * Registers gauges of what the answers of endpoints make the process hold, and of the bounds.
   *
   * @param answers - Bounds the answers.
   */
  observeAnswers(answers: Pick<AnswerIntake, 'bounds' | 'use'>): void {
    this.observeUse('answer', 'answers of endpoints', answers);
    Object.values(AnswerCut).forEach((reason) => this.brokenAnswers.inc({ reason }, 0));
  }

  /**
   * Registers gauges of what callers make the process hold, and of the bounds.
   *
   * @param intake - Bounds the callers.
   */
  observeIntake(intake: Pick<CallerIntake, 'bounds' | 'use'>): void {
    this.observeUse('caller', 'callers', intake);
    Object.values(IntakeCut).forEach((reason) => this.callerCuts.inc({ reason }, 0));
  }

  /** Registers gauges of what a kind of peer makes the process hold, and of the bounds. */
  private observeUse(
    name: string,
    subject: string,
    intake: { readonly use: object; readonly bounds: object },
  ): void {
    const use: Gauge = new Gauge({
      name: `ibisspar_${name}_use`,
      help: `What ${subject} make the process hold, by kind and unit`,
      labelNames: ['kind'],
      registers: [this.registry],
      collect: () =>
        Object.entries(intake.use).forEach(([kind, value]) => use.set({ kind }, Number(value))),
    });
    const bounds = new Gauge({
      name: `ibisspar_${name}_bound`,
      help: `Bounds on what ${subject} make the process hold, by name and unit`,
      labelNames: ['bound'],
      registers: [this.registry],
    });
    Object.entries(intake.bounds).forEach(([bound, value]) => bounds.set({ bound }, Number(value)));
  }

  private observe(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
  }
}
