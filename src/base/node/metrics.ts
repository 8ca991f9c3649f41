import { StatsD } from 'hot-shots';

/** Receiver of the counters, gauges and timings of a process. */
export interface IMetrics {
  increment(name: string, tags?: Readonly<Record<string, string>>): void;
  gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
  timing(name: string, valueMs: number, tags?: Readonly<Record<string, string>>): void;
  close(): Promise<void>;
}

/** Address of a StatsD server. */
export interface StatsdTarget {
  readonly host: string;
  readonly port: number;
}

/** Sends metrics as StatsD datagrams; sends nothing if no target is set. */
export class StatsdMetrics implements IMetrics {
  private readonly client: StatsD | undefined;

  /**
   * @param target - Address of the StatsD server, or undefined to send nothing.
   * @param tags - Tags added to every metric.
   */
  constructor(target: StatsdTarget | undefined, tags: Readonly<Record<string, string>>) {
    if (target !== undefined) {
      this.client = new StatsD({
        prefix: 'ibisspar.',
        host: target.host,
        port: target.port,
        maxBufferSize: 1_200, // fits one Ethernet frame
        globalTags: { ...tags },
        errorHandler: () => undefined, // a lost metric must not affect a request
      });
    }
  }

  increment(name: string, tags: Readonly<Record<string, string>> = {}): void {
    this.client?.increment(name, 1, { ...tags });
  }

  gauge(name: string, value: number, tags: Readonly<Record<string, string>> = {}): void {
    this.client?.gauge(name, value, { ...tags });
  }

  timing(name: string, valueMs: number, tags: Readonly<Record<string, string>> = {}): void {
    this.client?.timing(name, valueMs, { ...tags });
  }

  close(): Promise<void> {
    const { client } = this;
    if (client === undefined) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      client.close(() => resolve());
    });
  }
}
