import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Registry } from 'prom-client';
import type { CallerIntake } from '../../../services/intake/node/callerIntake.js';

/** Largest head of a request, in bytes; probes and scrapers send a few hundred. */
const maxHeaderBytes = 8_192;

/** Time for the head of a request, in milliseconds. */
const headTimeoutMs = 3_000;

/** Time for which an idle connection is kept, in milliseconds. */
const idleTimeoutMs = 15_000;

/** HTTP servers for the load balancer's readiness probe and for metrics. */
export class StatusServers {
  private readonly readinessServer: Server;

  private readonly metricsServer: Server;

  /**
   * @param isReady - Returns whether this gateway accepts callers.
   * @param registry - Metrics to serve in the Prometheus text format.
   * @param intake - Bounds what callers make this process hold.
   */
  constructor(
    isReady: () => boolean,
    registry: Registry,
    private readonly intake: CallerIntake,
  ) {
    this.readinessServer = this.createServer((req, res) => {
      res.writeHead(req.url === '/readyz' && isReady() ? 200 : 503).end();
    });
    this.metricsServer = this.createServer((_req, res) => {
      registry.metrics().then(
        (text) => res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(text),
        () => res.writeHead(500).end(),
      );
    });
  }

  /** Ports that the servers listen on; 0 until they listen. */
  get ports(): { readonly ready: number; readonly metrics: number } {
    return { ready: portOf(this.readinessServer), metrics: portOf(this.metricsServer) };
  }

  /**
   * Starts listening; rejects if an address can't be bound.
   *
   * @param readyAddress - Host and port of the readiness probe.
   * @param metricsAddress - Host and port of the metrics.
   */
  async listen(readyAddress: [string, number], metricsAddress: [string, number]): Promise<void> {
    await Promise.all([
      listen(this.readinessServer, readyAddress),
      listen(this.metricsServer, metricsAddress),
    ]);
  }

  /** Stops both servers from accepting connections. */
  close(): void {
    this.readinessServer.close();
    this.metricsServer.close();
  }

  /** Creates a server that answers each request without its body. */
  private createServer(answer: (req: IncomingMessage, res: ServerResponse) => void): Server {
    const server = createServer({ maxHeaderSize: maxHeaderBytes, keepAliveTimeout: idleTimeoutMs });
    this.intake.attach(server, {
      maxConnections: this.intake.bounds.maxStatusConnections,
      headTimeoutMs: () => headTimeoutMs,
      idleTimeoutMs: () => idleTimeoutMs,
    });
    const receive = (req: IncomingMessage, res: ServerResponse, expectsContinue: boolean): void =>
      this.intake.begin(req, res, expectsContinue, {
        onBegin: (request) => request,
        onStart: (request) => {
          request.prepareRefusal();
          if (request.connection.isEnding) {
            res.setHeader('Connection', 'close');
          }
          answer(req, res);
        },
      });
    server.on('request', (req, res) => receive(req, res, false));
    server.on('checkContinue', (req: IncomingMessage, res: ServerResponse) =>
      receive(req, res, true),
    );
    return server;
  }
}

function listen(server: Server, [host, port]: [string, number]): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
}

function portOf(server: Server): number {
  const address = server.address();
  return typeof address === 'object' && address ? address.port : 0;
}
