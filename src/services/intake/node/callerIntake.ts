import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { getHeapStatistics } from 'node:v8';
import type { CancelTimer, IClock, ITimers } from '../../../base/common/clock.js';
import { LogLevel, type ILogger, type LogFields } from '../../../base/common/logger.js';
import { RepeatLimitedLogger } from '../../../base/common/repeatLimitedLogger.js';
import { BodyAccount } from '../common/bodyAccount.js';
import { BlockPool } from '../common/bodyBuffer.js';
import { ConnectionTable } from '../common/connectionTable.js';
import { connectionHeapBytes, HeadAccount, partialHeadCost } from '../common/headAccount.js';
import { HeapGuard, type HeapUse } from '../common/heapGuard.js';
import { heldConnectionBytes, type IntakeBounds } from '../common/intakeBounds.js';
import { IntakeCut } from '../common/intakeCut.js';
import { PiecePacer, StartPacer } from '../common/piecePacer.js';
import { CallerConnection, HoldCounts, HoldReason } from './callerConnection.js';
import type { IntakeContext } from './intakeContext.js';
import { IntakeRequest } from './intakeRequest.js';

/** Bounds on the connections to one server, in addition to the bounds of the process. */
export interface ServerLimits {
  /** Largest number of connections. */
  readonly maxConnections: number;
  /** Returns the time for the head of a request, in milliseconds. */
  headTimeoutMs(): number;
  /** Returns the time for which a connection that has sent nothing is kept, in milliseconds. */
  idleTimeoutMs(): number;
}

/** Serves the requests of a server; `T` is what the owner of the server knows about a request. */
export interface RequestHandler<T> {
  /** Called when a request gets an answer, in the order of arrival. */
  onBegin(request: IntakeRequest): T;
  /** Called when the request may be served: at once, or when earlier ones on its connection have ended. */
  onStart(known: T): void;
}

/** What callers make the process hold at present. */
export interface IntakeUse {
  readonly connections: number;
  readonly heldConnections: number;
  readonly openRequests: number;
  readonly incompleteBodies: number;
  readonly waitingBodies: number;
  readonly smallBodyBytes: number;
  readonly largeBodyBytes: number;
  readonly unreadAnswerBytes: number;
  readonly heldBytes: number;
  readonly freeBlockBytes: number;
  readonly heapBytes: number;
  readonly isHeapFull: boolean;
}

/** Interval of the sweep that looks for callers without progress, in milliseconds. */
const sweepIntervalMs = 250;

/** Interval between log lines about one reason for cuts, in milliseconds. */
const cutLogIntervalMs = 1_000;

/** Connections that are closed in a sweep while the heap is almost full. */
const closedPerSweep = 16;

/** Server whose connections are bounded. */
interface AttachedServer {
  readonly server: Server;
  readonly limits: ServerLimits;
  readonly table: ConnectionTable;
  readonly connections: Set<CallerConnection>;
}

/**
 * Bounds what the callers of HTTP servers make a process hold: connections, heads, bodies, requests that were
 * sent ahead, and answers that aren't read. The owner of a server attaches it, and passes each request through
 * {@link CallerIntake.begin}.
 */
export class CallerIntake {
  private readonly account: BodyAccount;

  private readonly heads: HeadAccount;

  private readonly guard = new HeapGuard();

  private readonly pool: BlockPool;

  private readonly queuedPacer: StartPacer;

  private readonly holdCounts = new HoldCounts();

  private readonly servers: AttachedServer[] = [];

  private readonly connections = new WeakMap<Socket, CallerConnection>();

  private readonly context: IntakeContext;

  private readonly cutLogger: ILogger;

  private cancelSweep: CancelTimer | undefined;

  private willTrim = false;

  private openRequestCount = 0;

  /** Returns the bytes that others need of what unread answers hold. */
  private readWantedBytes: () => number = () => 0;

  /**
   * @param bounds - Bounds of the process.
   * @param countCut - Counts a cut or a refusal.
   * @param clock - Source of time and of timers.
   * @param logger - Receives a line for each cut or refusal, limited in number.
   * @param readHeap - Returns the size of the heap.
   */
  constructor(
    readonly bounds: IntakeBounds,
    private readonly countCut: (reason: IntakeCut) => void,
    private readonly clock: IClock & ITimers,
    logger: ILogger,
    private readonly readHeap: () => HeapUse = readV8Heap,
  ) {
    this.account = new BodyAccount(bounds);
    this.heads = new HeadAccount(bounds.heapBytes);
    this.queuedPacer = new StartPacer(bounds.queuedStartsPerSecond);
    this.pool = new BlockPool(bounds.memoryBytes);
    const limit = { event: 'caller-cut', subjectField: 'reason', intervalMs: cutLogIntervalMs };
    this.cutLogger = new RepeatLimitedLogger(logger, limit, clock);
    this.context = {
      account: this.account,
      pool: this.pool,
      pacer: new PiecePacer(bounds.pieceShare),
      holdCounts: this.holdCounts,
      maxHeld: bounds.maxHeld,
      clock,
      discarding: new Set(),
      recordProgress: (connection) => connection.recordProgress(clock.monotonicMs()),
      recordCut: (reason, connection, fields) => this.recordCut(reason, connection, fields),
      cut: (connection, reason, fields) => this.cut(connection, reason, fields),
    };
  }

  /** What callers make the process hold at present. */
  get use(): IntakeUse {
    const all = this.servers.flatMap(({ connections }) => [...connections]);
    return {
      connections: all.length,
      heldConnections: all.filter(({ isHeld }) => isHeld).length,
      openRequests: this.openRequestCount,
      incompleteBodies: this.account.incompleteCount,
      waitingBodies: this.account.waitingCount,
      smallBodyBytes: this.account.smallBytes,
      largeBodyBytes: this.account.largeBytes,
      unreadAnswerBytes: this.account.answerBytes,
      heldBytes: this.account.heldBytes,
      freeBlockBytes: this.pool.freeBytes,
      heapBytes: this.heads.usedBytes,
      isHeapFull: this.guard.mustRefuse,
    };
  }

  /**
   * Bounds the connections of a server from now on.
   *
   * @param server - Server that isn't listening yet.
   * @param limits - Bounds on its connections.
   */
  attach(server: Server, limits: ServerLimits): void {
    const attached: AttachedServer = {
      server,
      limits,
      table: new ConnectionTable(limits.maxConnections),
      connections: new Set(),
    };
    this.servers.push(attached);
    // The sweep checks heads and silent connections; Node.js does it only every half minute.
    server.headersTimeout = 0;
    server.requestTimeout = 0;
    // By default Node.js leaves the fields past the thousandth out without an error. A head is bounded by its size.
    server.maxHeadersCount = 0;
    server.on('connection', (socket) => this.accept(attached, socket));
    this.cancelSweep ??= this.scheduleSweep();
  }

  /**
   * Admits a request whose head was read.
   *
   * @param req - The request.
   * @param res - Its answer.
   * @param expectsContinue - Whether the caller waits for leave to send the body.
   * @param handler - Serves the request. Isn't called if the connection ends without an answer.
   */
  begin<T>(
    req: IncomingMessage,
    res: ServerResponse,
    expectsContinue: boolean,
    handler: RequestHandler<T>,
  ): void {
    const connection = this.connections.get(req.socket);
    if (connection === undefined || connection.isEnding || req.socket.destroyed) {
      return;
    }
    const { requests, queued } = connection;
    if (requests.size >= this.bounds.maxPipelinedHard) {
      this.cut(connection, IntakeCut.Pipelined, { requests: requests.size });
      return;
    }
    const shortage = this.shortage();
    if (shortage && requests.size > 0) {
      this.cut(connection, shortage, { requests: requests.size });
      return;
    }
    connection.recordRequest();
    const request = new IntakeRequest(
      req,
      res,
      connection,
      shortage !== undefined,
      expectsContinue,
      this.context,
    );
    if (shortage) {
      this.recordCut(shortage, connection);
    }
    this.chargeHeap(connection, connectionHeapBytes);
    this.heads.charge(request.heapBytes);
    this.openRequestCount += 1;
    requests.add(request);
    connection.headSinceMs = undefined;
    connection.recordProgress(this.clock.monotonicMs());
    res.once('close', () => this.end(request));
    const known = handler.onBegin(request);
    request.onStart = () => handler.onStart(known);
    if (requests.size === this.bounds.maxPipelined) {
      if (this.holdCounts.of(HoldReason.Pipelined) >= this.bounds.maxHeld) {
        this.cut(connection, IntakeCut.HeldBound, { requests: requests.size });
        return;
      }
      connection.hold(HoldReason.Pipelined);
    }
    if (requests.size > this.bounds.maxServed) {
      queued.push(request);
    } else {
      request.onStart();
    }
  }

  /**
   * Lets the slowest readers of answers give way when others need the memory.
   *
   * @param readWantedBytes - Returns the bytes that are needed of what unread answers hold.
   */
  yieldAnswers(readWantedBytes: () => number): void {
    this.readWantedBytes = readWantedBytes;
  }

  /**
   * Ends the checks of a connection whose bytes are no requests any more, as after an upgrade. It counts as
   * one that is being served until it closes.
   *
   * @param socket - The connection.
   */
  handOver(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection) {
      connection.isHandedOver = true;
      this.chargeHeap(connection, connectionHeapBytes);
      connection.recordProgress(this.clock.monotonicMs());
    }
  }

  /** Looks for callers without progress. Called by a timer. */
  sweep(): void {
    const nowMs = this.clock.monotonicMs();
    this.guard.update(this.readHeap());
    this.servers.forEach((attached) => {
      attached.connections.forEach((connection) =>
        this.checkConnection(attached, connection, nowMs),
      );
    });
    this.account.sweep(nowMs);
    this.cutSlowReaders(nowMs);
    this.context.discarding.forEach((request) => {
      if (nowMs >= (request.discardUntilMs ?? Infinity)) {
        this.context.discarding.delete(request);
        this.cut(request.connection, IntakeCut.DiscardBound);
      }
    });
    this.makeHeapRoom();
    if (this.guard.mustRefuse) {
      for (let count = 0; count < closedPerSweep; count += 1) {
        this.servers.forEach(({ table }) => table.closeLongestIdle(IntakeCut.Heap));
      }
    }
    const { memoryBytes } = this.bounds;
    this.pool.trim(Math.max(0, memoryBytes - this.account.largeBytes - this.account.smallBytes));
  }

  /** Stops the timer; the owners of the servers close them. */
  close(): void {
    this.cancelSweep?.();
    this.cancelSweep = undefined;
  }

  /** Serves the next request that waits for earlier ones on its connection, when the pacer says so. */
  private startQueued(connection: CallerConnection): void {
    const nowMs = this.clock.monotonicMs();
    const startMs = this.queuedPacer.next(nowMs);
    const start = (): void => {
      connection.queued.shift()?.onStart();
    };
    if (startMs <= nowMs) {
      start();
    } else {
      this.clock.after(startMs - nowMs, start);
    }
  }

  /** Why new requests must be refused; undefined if they may be served. */
  private shortage(): IntakeCut | undefined {
    if (this.account.hasTooManyAnswers) {
      return IntakeCut.Answers;
    }
    this.makeHeapRoom();
    return this.guard.mustRefuse || this.heads.isFull ? IntakeCut.Heap : undefined;
  }

  /** Closes connections that are idle or incomplete for longest until the heads of the others fit. */
  private makeHeapRoom(): void {
    this.servers.forEach(({ table }) => {
      while (this.heads.isFull && table.closeLongestIdle(IntakeCut.Heap)) {
        // Each call closes one; `cut` ends what it is charged for.
      }
    });
  }

  private accept(attached: AttachedServer, socket: Socket): void {
    const nowMs = this.clock.monotonicMs();
    const connection = new CallerConnection(socket, attached.table, nowMs, this.holdCounts);
    if (!connection.enter((reason) => this.cut(connection, reason))) {
      return;
    }
    this.connections.set(socket, connection);
    attached.connections.add(connection);
    this.chargeHeap(connection, connectionHeapBytes);
    socket.once('close', () => this.remove(attached, connection));
    if (attached.table.isOverBound && !this.willTrim) {
      this.willTrim = true;
      // The event loop reads what the new connections have sent before.
      setImmediate(() => {
        this.willTrim = false;
        this.servers.forEach(({ table }) => table.trim());
      });
    }
  }

  private remove(attached: AttachedServer, connection: CallerConnection): void {
    attached.connections.delete(connection);
    connection.leave();
    connection.queued.length = 0;
    connection.requests.forEach((request) => this.end(request));
    this.chargeHeap(connection, 0);
    this.chargeUnread(connection, 0, 0);
    connection.releaseAll();
  }

  private end(request: IntakeRequest): void {
    const { connection } = request;
    if (!connection.requests.delete(request)) {
      return;
    }
    request.end();
    this.heads.charge(-request.heapBytes);
    this.openRequestCount -= 1;
    if (connection.socket.destroyed) {
      return;
    }
    const { requests, queued } = connection;
    if (queued.length > 0) {
      this.startQueued(connection);
    }
    if (requests.size < this.bounds.maxPipelined) {
      connection.release(HoldReason.Pipelined);
    }
    if (requests.size === 0) {
      connection.bytesAtIdle = connection.socket.bytesRead;
    }
    connection.recordProgress(this.clock.monotonicMs());
  }

  private checkConnection(
    { server, limits }: AttachedServer,
    connection: CallerConnection,
    nowMs: number,
  ): void {
    const { socket, requests } = connection;
    if (connection.isHandedOver) {
      return;
    }
    connection.updateReader(nowMs);
    const heldBytes = connection.isHeld ? heldConnectionBytes : 0;
    this.chargeUnread(connection, connection.unreadBytes(), heldBytes);
    if (connection.readerStallMs(nowMs) >= this.bounds.stallMs) {
      this.cut(connection, IntakeCut.ReaderStalled, { unreadBytes: connection.unreadBytes() });
      return;
    }
    if (requests.size > 0) {
      connection.recordReader(connection.readerStallMs(nowMs) >= this.bounds.yieldMs, nowMs);
      return;
    }
    if (connection.isDiscarding) {
      return;
    }
    const newBytes = socket.bytesRead - connection.bytesAtIdle;
    if (newBytes > 0) {
      connection.headSinceMs ??= nowMs;
      this.chargeHeap(connection, connectionHeapBytes + partialHeadCost(newBytes));
      if (nowMs - connection.headSinceMs >= limits.headTimeoutMs()) {
        this.recordCut(IntakeCut.SlowHead, connection, { headBytes: newBytes });
        const err = new Error('the head of a request was not complete in time');
        server.emit(
          'clientError',
          Object.assign(err, { code: 'ERR_HTTP_REQUEST_TIMEOUT' }),
          socket,
        );
      }
    } else if (!connection.isProven && nowMs - connection.openedMs >= limits.idleTimeoutMs()) {
      this.cut(connection, IntakeCut.Silent);
    }
  }

  /** Cuts readers that take too little, the slowest first, while others need the memory. */
  private cutSlowReaders(nowMs: number): void {
    let wantedBytes = this.readWantedBytes();
    if (!this.account.isShort && wantedBytes <= 0) {
      return;
    }
    const slow = this.servers
      .flatMap(({ connections }) => [...connections])
      .filter(
        (connection) =>
          connection.unreadBytes() > 0 && connection.readerSlowMs(nowMs) >= this.bounds.yieldMs,
      )
      .sort((a, b) => b.readerSlowMs(nowMs) - a.readerSlowMs(nowMs));
    for (const connection of slow) {
      if (!this.account.isShort && wantedBytes <= 0) {
        return;
      }
      const unreadBytes = connection.unreadBytes();
      wantedBytes -= unreadBytes;
      this.chargeUnread(connection, 0, 0);
      this.cut(connection, IntakeCut.ReaderYielded, { unreadBytes });
      this.account.sweep(nowMs);
    }
  }

  private cut(connection: CallerConnection, reason: IntakeCut, fields: LogFields = {}): void {
    this.recordCut(reason, connection, fields);
    connection.isEnding = true;
    this.chargeHeap(connection, 0);
    connection.socket.destroy();
  }

  private recordCut(reason: IntakeCut, connection: CallerConnection, fields?: LogFields): void {
    this.countCut(reason);
    this.cutLogger.log(LogLevel.Warn, 'caller-cut', {
      reason,
      peer: connection.socket.remoteAddress,
      ageMs: Math.round(this.clock.monotonicMs() - connection.openedMs),
      open: connection.requests.size,
      ...fields,
    });
  }

  private chargeHeap(connection: CallerConnection, bytes: number): void {
    this.heads.charge(bytes - connection.heapBytes);
    connection.heapBytes = bytes;
  }

  private chargeUnread(connection: CallerConnection, answerBytes: number, heldBytes: number): void {
    if (answerBytes !== connection.answerBytes) {
      this.account.chargeAnswers(answerBytes - connection.answerBytes);
      connection.answerBytes = answerBytes;
    }
    if (heldBytes !== connection.heldBytes) {
      this.account.chargeHeld(heldBytes - connection.heldBytes);
      connection.heldBytes = heldBytes;
    }
  }

  private scheduleSweep(): CancelTimer {
    return this.clock.after(sweepIntervalMs, () => {
      this.sweep();
      this.cancelSweep = this.scheduleSweep();
    });
  }
}

function readV8Heap(): HeapUse {
  const { used_heap_size: usedBytes, heap_size_limit: limitBytes } = getHeapStatistics();
  return { usedBytes, limitBytes };
}
