import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Directions in which data can be paused. */
export enum PauseDirection {
  ToTarget = 'to-target',
  ToClient = 'to-client',
}

/** Data of one direction of a connection that the proxy holds before it stops reading, in bytes. */
const maxBufferedBytes = 1_048_576;

/** Loopback TCP proxy that delays, discards or pauses data and resets connections. */
export class FaultProxy {
  private readonly server: Server;

  private readonly connections = new Set<readonly [Socket, Socket]>();

  /** Sockets whose data is discarded. */
  private readonly discardingSockets = new Set<Socket>();

  private readonly pausedDirections = new Set<PauseDirection>();

  /** Port that clients connect to. */
  port = 0;

  /** Ports of clients whose connection the target refused; such a client sees a reset. */
  readonly refusedPorts = new Set<number>();

  /**
   * @param targetPort - Loopback port to which new connections are forwarded.
   * @param delayMs - Delay of each chunk of data in each direction, in milliseconds.
   */
  constructor(
    public targetPort: number,
    public delayMs: number,
  ) {
    this.server = createServer((client) => this.forward(client));
  }

  /** Starts listening on a free port and sets `port`. */
  listen(): Promise<void> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        this.port = (this.server.address() as AddressInfo).port;
        resolve();
      });
    });
  }

  /** Discards all further data of the open connections without closing them; new ones work. */
  discardData(): void {
    this.connections.forEach((pair) =>
      pair.forEach((socket) => this.discardingSockets.add(socket)),
    );
  }

  /**
   * Pauses data in open and new connections until `resume` is called. To the other side, this
   * looks like a partition or a frozen process.
   *
   * @param directions - Directions to pause, in addition to those already paused.
   */
  pause(...directions: readonly PauseDirection[]): void {
    directions.forEach((direction) => this.pausedDirections.add(direction));
    this.connections.forEach((pair) => this.pausePair(pair));
  }

  /** Resumes all paused data. */
  resume(): void {
    this.pausedDirections.clear();
    this.connections.forEach((pair) => pair.forEach((socket) => socket.resume()));
  }

  /** Resets the open connections. New connections work. */
  resetConnections(): void {
    this.connections.forEach((pair) => pair.forEach((socket) => socket.resetAndDestroy()));
  }

  /** Refuses new connections until `acceptConnections` is called, as a machine without the process does. */
  refuseConnections(): void {
    this.server.close();
  }

  /** Listens on the same port again after `refuseConnections`. */
  acceptConnections(): Promise<void> {
    return new Promise((resolve) => {
      this.server.listen(this.port, '127.0.0.1', () => resolve());
    });
  }

  /** Stops listening and resets the open connections. */
  close(): void {
    this.resetConnections();
    this.server.close();
  }

  private pausePair([client, target]: readonly [Socket, Socket]): void {
    if (this.pausedDirections.has(PauseDirection.ToTarget)) {
      client.pause();
    }
    if (this.pausedDirections.has(PauseDirection.ToClient)) {
      target.pause();
    }
  }

  private forward(client: Socket): void {
    const target = connect({ host: '127.0.0.1', port: this.targetPort, noDelay: true });
    client.setNoDelay(true);
    const pair = [client, target] as const;
    this.connections.add(pair);
    const afterDelay = new Map([
      [client, this.pipe(client, target, PauseDirection.ToTarget)],
      [target, this.pipe(target, client, PauseDirection.ToClient)],
    ]);
    const endPair = (endSocket: (socket: Socket) => void) => {
      if (!this.discardingSockets.has(client)) {
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
    for (const [socket, inOrder] of afterDelay) {
      socket.on('close', () => inOrder(() => endPair((other) => other.destroySoon())));
      socket.on('error', resetPair);
      // If data and a reset arrive together, Node.js reports an end instead of an error. The socket
      // then has no remote address, and the end is handled as a reset.
      socket.on('end', () => socket.remoteAddress === undefined && resetPair());
    }
    this.pausePair(pair);
  }

  /**
   * Forwards data after the current delay, in the order of arrival. It reads no faster than the other side
   * does, so that a sender without end is held back as by a direct connection.
   *
   * @returns A function that runs an action after all data that has arrived so far.
   */
  private pipe(from: Socket, to: Socket, direction: PauseDirection): (action: () => void) => void {
    let delayedBytes = 0;
    const isFull = () => delayedBytes + to.writableLength > maxBufferedBytes;
    const readOn = () => {
      if (!isFull() && !this.pausedDirections.has(direction)) {
        from.resume();
      }
    };
    const waiting: { readonly dueMs: number; readonly action: () => void }[] = [];
    const runDue = () => {
      while (waiting.length > 0 && waiting[0].dueMs <= Date.now()) {
        waiting.shift()?.action();
      }
      if (waiting.length > 0) {
        setTimeout(runDue, waiting[0].dueMs - Date.now());
      }
    };
    const inOrder = (action: () => void) => {
      if (waiting.length === 0 && this.delayMs === 0) {
        action();
        return;
      }
      waiting.push({ dueMs: Date.now() + this.delayMs, action });
      if (waiting.length === 1) {
        setTimeout(runDue, this.delayMs);
      }
    };
    from.on('data', (data) => {
      delayedBytes += data.length;
      inOrder(() => {
        delayedBytes -= data.length;
        if (!this.discardingSockets.has(from)) {
          to.write(data);
        }
        readOn();
      });
      if (isFull()) {
        from.pause();
      }
    });
    to.on('drain', readOn);
    return inOrder;
  }
}
