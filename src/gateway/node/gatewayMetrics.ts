import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Bounds of the latency buckets, in milliseconds; the objectives lie between 150 and 500. */
const latencyBuckets = [
  5, 10, 25, 50, 100, 150, 200, 300, 400, 500, 750, 1_000, 2_000, 5_000, 20_000,
];

/** Counters and histograms of a gateway, read as text from its metrics address. */
export class GatewayMetrics {
  readonly registry = new Registry();

  /** Answers by route, status and where they came from. */
  readonly answers = new Counter({
    name: 'ibisspar_answers_total',
    help: 'Answers to callers',
    labelNames: ['kind', 'status', 'source'],
    registers: [this.registry],
  });

  /** Time to the first event of a stream or to the whole answer. */
  readonly latency = new Histogram({
    name: 'ibisspar_answer_latency_ms',
    help: 'Time to the first event or the whole answer, in milliseconds',
    labelNames: ['kind'],
    buckets: latencyBuckets,
    registers: [this.registry],
  });

  /** Longest pause between events of a stream. */
  readonly pause = new Histogram({
    name: 'ibisspar_stream_longest_pause_ms',
    help: 'Longest pause between events of a stream, in milliseconds',
    buckets: latencyBuckets,
    registers: [this.registry],
  });

  /** Repeated sends by what made them necessary. */
  readonly repeats = new Counter({
    name: 'ibisspar_repeated_sends_total',
    help: 'Requests sent once more',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  /** Refusals by reason. */
  readonly refusals = new Counter({
    name: 'ibisspar_refusals_total',
    help: 'Requests that were not admitted',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  /** Calls to the platform's store by outcome. */
  readonly storeCalls = new Counter({
    name: 'ibisspar_store_calls_total',
    help: 'Calls to the store',
    labelNames: ['outcome'],
    registers: [this.registry],
  });

  /** Log lines that were left out to bound the volume. */
  readonly droppedLines = new Counter({
    name: 'ibisspar_log_lines_dropped_total',
    help: 'Log lines that were left out',
    registers: [this.registry],
  });

  /** Version of the configuration in force. */
  readonly configVersion = new Gauge({
    name: 'ibisspar_config_version',
    help: 'Version of the configuration in force',
    registers: [this.registry],
  });

  /**
   * Serves the number of requests under way.
   *
   * @param count - Counts them when the metrics are read.
   */
  watchInFlight(count: () => number): void {
    const gauge: Gauge = new Gauge({
      name: 'ibisspar_requests_in_flight',
      help: 'Requests under way',
      registers: [this.registry],
      collect: () => gauge.set(count()),
    });
  }
}
