import { createServer, type Server } from 'node:http';
import type { Registry } from 'prom-client';

/** Servers for the balancer's question and for metrics. */
export class StatusServers {
  private readonly ready: Server;

  private readonly metrics: Server;

  /**
   * @param isReady - Whether this gateway takes callers.
   * @param registry - Metrics to serve as text.
   */
  constructor(isReady: () => boolean, registry: Registry) {
    this.ready = createServer((req, res) => {
      res.writeHead(req.url === '/readyz' && isReady() ? 200 : 503).end();
    });
    this.metrics = createServer((_req, res) => {
      registry.metrics().then(
        (text) => res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(text),
        () => res.writeHead(500).end(),
      );
    });
  }

  /** Ports of both servers. */
  get ports(): { readonly ready: number; readonly metrics: number } {
    return { ready: portOf(this.ready), metrics: portOf(this.metrics) };
  }

  /**
   * Starts to listen.
   *
   * @param readyAddress - Host and port for the balancer.
   * @param metricsAddress - Host and port for metrics.
   */
  listen(readyAddress: [string, number], metricsAddress: [string, number]): void {
    this.ready.listen(readyAddress[1], readyAddress[0]);
    this.metrics.listen(metricsAddress[1], metricsAddress[0]);
  }

  /** Stops both servers. */
  close(): void {
    this.ready.close();
    this.metrics.close();
  }
}

function portOf(server: Server): number {
  const address = server.address();
  return typeof address === 'object' && address ? address.port : 0;
}
