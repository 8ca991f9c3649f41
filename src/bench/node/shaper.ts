import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Forwards TCP connections and makes them slow, silent or cut. */
export class Shaper {
  private readonly server: Server;

  private readonly pairs = new Set<readonly [Socket, Socket]>();

  private readonly silent = new Set<Socket>();

  /** Port that clients connect to. */
  port = 0;

  /**
   * @param targetPort - Port on loopback to forward to.
   * @param delayMs - Delay of each piece of data in each direction, in milliseconds.
   */
  constructor(
    public targetPort: number,
    private readonly delayMs: number,
  ) {
    this.server = createServer((client) => this.forward(client));
  }

  /** Starts to listen on a free port. */
  listen(): Promise<void> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        this.port = (this.server.address() as AddressInfo).port;
        resolve();
      });
    });
  }

  /** Lets the open connections go silent for good; new ones work. */
  silence(): void {
    this.pairs.forEach((pair) => pair.forEach((socket) => this.silent.add(socket)));
  }

  /** Resets the open connections; new ones work. */
  cut(): void {
    this.pairs.forEach((pair) => pair.forEach((socket) => socket.resetAndDestroy()));
  }

  /** Stops listening and cuts everything. */
  close(): void {
    this.cut();
    this.server.close();
  }

  private forward(client: Socket): void {
    const target = connect({ host: '127.0.0.1', port: this.targetPort, noDelay: true });
    client.setNoDelay(true);
    const pair = [client, target] as const;
    this.pairs.add(pair);
    this.pipe(client, target);
    this.pipe(target, client);
    const end = () => {
      if (!this.silent.has(client)) {
        this.pairs.delete(pair);
        client.destroy();
        target.destroy();
      }
    };
    pair.forEach((socket) => socket.on('close', end).on('error', end));
  }

  private pipe(from: Socket, to: Socket): void {
    from.on('data', (data) => {
      if (this.silent.has(from)) {
        return;
      }
      if (this.delayMs === 0) {
        to.write(data);
        return;
      }
      setTimeout(() => {
        if (!this.silent.has(from)) {
          to.write(data);
        }
      }, this.delayMs);
    });
  }
}
