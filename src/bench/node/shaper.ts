import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Directions in which data can be held up. */
export enum Direction {
  ToTarget = 'to-target',
  ToClient = 'to-client',
}

/** Forwards TCP connections and makes them slow, silent, held up or cut. */
export class Shaper {
  private readonly server: Server;

  private readonly connections = new Set<readonly [Socket, Socket]>();

  private readonly silentSockets = new Set<Socket>();

  private readonly pausedDirections = new Set<Direction>();

  /** Port that clients connect to. */
  port = 0;

  /** Ports of clients whose connection the target refused; such a client sees a reset. */
  readonly refusedPorts = new Set<number>();

  /**
   * @param targetPort - Port on loopback to forward to.
   * @param delayMs - Delay of each piece of data in each direction, in milliseconds.
   */
  constructor(
    public targetPort: number,
    public delayMs: number,
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
    this.connections.forEach((pair) => pair.forEach((socket) => this.silentSockets.add(socket)));
  }

  /**
   * Holds data up in open and new connections until `release`, as a partition or a frozen process
   * does.
   *
   * @param directions - Which way.
   */
  hold(...directions: readonly Direction[]): void {
    directions.forEach((direction) => this.pausedDirections.add(direction));
    this.connections.forEach((pair) => this.pausePair(pair));
  }

  /** Lets data pass that was held up. */
  release(): void {
    this.pausedDirections.clear();
    this.connections.forEach((pair) => pair.forEach((socket) => socket.resume()));
  }

  /** Resets the open connections; new ones work. */
  cut(): void {
    this.connections.forEach((pair) => pair.forEach((socket) => socket.resetAndDestroy()));
  }

  /** Stops listening and cuts everything. */
  close(): void {
    this.cut();
    this.server.close();
  }

  private pausePair([client, target]: readonly [Socket, Socket]): void {
    if (this.pausedDirections.has(Direction.ToTarget)) {
      client.pause();
    }
    if (this.pausedDirections.has(Direction.ToClient)) {
      target.pause();
    }
  }

  private forward(client: Socket): void {
    const target = connect({ host: '127.0.0.1', port: this.targetPort, noDelay: true });
    client.setNoDelay(true);
    const pair = [client, target] as const;
    this.connections.add(pair);
    this.pipe(client, target);
    this.pipe(target, client);
    const endPair = (endSocket: (socket: Socket) => void) => {
      if (!this.silentSockets.has(client)) {
        this.connections.delete(pair);
        pair.forEach(endSocket);
      }
    };
    const resetPair = () => endPair((socket) => socket.resetAndDestroy());
    const clientPort = client.remotePort;
    target.once('error', (err: NodeJS.ErrnoException) => {
      if (err.code === 'ECONNREFUSED' && clientPort !== undefined) {
        this.refusedPorts.add(clientPort);
      }
    });
    for (const socket of pair) {
      socket.on('close', () => endPair((other) => other.destroy())).on('error', resetPair);
      // A reset that is polled together with data is reported as an end, but leaves no peer.
      socket.on('end', () => socket.remoteAddress === undefined && resetPair());
    }
    this.pausePair(pair);
  }

  private pipe(from: Socket, to: Socket): void {
    from.on('data', (data) => {
      if (this.silentSockets.has(from)) {
        return;
      }
      if (this.delayMs === 0) {
        to.write(data);
        return;
      }
      setTimeout(() => {
        if (!this.silentSockets.has(from)) {
          to.write(data);
        }
      }, this.delayMs);
    });
  }
}
