import type { Socket } from 'node:net';

/** Bytes of a new connection that are passed to the parser at once. */
const initialSliceBytes = 4_096;

/** Bytes that are passed on at once of a connection that sends many small pieces or requests. */
const minSliceBytes = 1_024;

/** Bytes that are passed on at once of a connection that sends few large pieces. */
const maxSliceBytes = 65_536;

/** Pieces of bodies and requests in one slice from which slices get smaller. */
const manyPieces = 16;

/** Bytes of one connection that are passed on before other connections have their turn. */
const turnBytes = 131_072;

/** How the HTTP parser takes what a connection has read. */
export enum ParserMode {
  /** It gets each read as an event at once, as the HTTP server does. */
  Flowing,
  /** It calls `read` on each `readable` event, as the HTTP client does. */
  Readable,
}

/**
 * Stands between a connection and the HTTP parser. It can stop reading at any time, and passes on large reads
 * in slices: a read of 64 KiB may hold ten thousand pieces of a body or two thousand requests, and the parser
 * can't stop within it.
 *
 * It replaces `push` and `_read` of the connection. The HTTP server pauses and resumes connections for its own
 * purposes, so that `pause` can't be used to stop reading.
 */
export class ReadGate {
  private readonly socket: Socket;

  private readonly push: (chunk: Buffer | null) => boolean;

  private readonly read: (bytes: number) => void;

  /** What has been read and not yet passed on; `null` is the end of the stream. */
  private backlog: (Buffer | null)[] = [];

  private isClosed = false;

  private isPassingOn = false;

  private willContinue = false;

  private sliceBytes = initialSliceBytes;

  /** Bytes passed on since other connections had their turn. */
  private bytesInTurn = 0;

  private pieceCount = 0;

  /** Whether a request began in the slice that was passed on last. */
  private hasBegunRequest = false;

  /**
   * @param socket - Connection whose parser has not read anything yet.
   * @param mode - How the parser takes what was read.
   * @param onDidPassOn - Called after bytes were passed on and parsed, with their number.
   */
  constructor(
    socket: Socket,
    private readonly mode: ParserMode,
    private readonly onDidPassOn?: (bytes: number) => void,
  ) {
    this.socket = socket;
    if (mode === ParserMode.Flowing) {
      // The HTTP server reads from the connection past its stream until it gets a listener.
      const ignore = (): void => undefined;
      socket.on('data', ignore);
      socket.off('data', ignore);
    }
    this.push = socket.push.bind(socket);
    this.read = socket._read.bind(socket);
    socket.push = (chunk: Buffer | null) => this.receive(chunk);
    socket._read = (bytes: number) => this.handleRead(bytes);
  }

  /** Bytes that were read and not yet passed on. */
  get backlogBytes(): number {
    return this.backlog.reduce((total, chunk) => total + (chunk?.length ?? 0), 0);
  }

  /** Stops passing bytes on. What has been read already, 64 KiB at most, is kept. */
  close(): void {
    this.isClosed = true;
  }

  /** Passes bytes on again. */
  open(): void {
    if (this.isClosed) {
      this.isClosed = false;
      this.scheduleContinue();
    }
  }

  /** Passes on less at once again, for bytes of which nothing is known yet. */
  resetSlices(): void {
    this.sliceBytes = initialSliceBytes;
  }

  /** Counts a piece of a body; many of them in one slice make the next ones smaller. */
  countPiece(): void {
    this.pieceCount += 1;
  }

  /**
   * Records that a request began. The rest of what was read is passed on after its owner had the time to
   * listen to its body.
   */
  recordRequest(): void {
    this.hasBegunRequest = true;
    this.pieceCount += 1;
  }

  /** Called with each read; returns false to stop reading. */
  private receive(chunk: Buffer | null): boolean {
    if (this.backlog.length === 0 && !this.isPassingOn) {
      if (chunk === null) {
        return this.push(chunk);
      }
      if (!this.isClosed && chunk.length <= this.sliceBytes && this.bytesInTurn < turnBytes) {
        return this.passOn(chunk) && !this.isClosed;
      }
    }
    this.backlog.push(chunk);
    this.continue();
    return this.backlog.length === 0 && !this.isClosed;
  }

  /** Called when the stream wants more. */
  private handleRead(bytes: number): void {
    if (this.isClosed) {
      return;
    }
    if (this.backlog.length > 0) {
      this.scheduleContinue();
    } else {
      this.read(bytes);
    }
  }

  private scheduleContinue(): void {
    if (this.willContinue || this.isPassingOn) {
      return;
    }
    this.willContinue = true;
    setImmediate(() => {
      this.willContinue = false;
      this.bytesInTurn = 0;
      this.continue();
    });
  }

  private continue(): void {
    if (this.isPassingOn || this.willContinue) {
      return;
    }
    while (this.backlog.length > 0 && !this.isClosed && !this.socket.destroyed) {
      if (this.bytesInTurn >= turnBytes) {
        this.scheduleContinue();
        return;
      }
      if (!this.passOn(this.nextSlice())) {
        return; // the stream asks for more once it has room
      }
      if (this.hasBegunRequest && this.backlog.length > 0) {
        this.scheduleContinue();
        return;
      }
    }
    if (!this.isClosed && !this.socket.destroyed) {
      this.read(0);
    }
  }

  /** Takes the next bytes out of the backlog. */
  private nextSlice(): Buffer | null {
    const [chunk] = this.backlog;
    if (chunk === null || chunk.length <= this.sliceBytes) {
      this.backlog.shift();
      return chunk;
    }
    this.backlog[0] = chunk.subarray(this.sliceBytes);
    return chunk.subarray(0, this.sliceBytes);
  }

  private passOn(chunk: Buffer | null): boolean {
    this.pieceCount = 0;
    this.hasBegunRequest = false;
    this.bytesInTurn += chunk?.length ?? 0;
    this.isPassingOn = true;
    let mayGoOn = this.push(chunk);
    if (this.mode === ParserMode.Readable && this.socket.readableLength > 0) {
      // Otherwise the parser would get several slices at once, at the end of the turn.
      this.socket.emit('readable');
      mayGoOn = this.socket.readableLength === 0;
    }
    this.isPassingOn = false;
    if (chunk !== null) {
      this.onDidPassOn?.(chunk.length);
    }
    if (this.pieceCount >= manyPieces) {
      this.sliceBytes = minSliceBytes;
    } else if (chunk !== null && chunk.length >= this.sliceBytes) {
      this.sliceBytes = Math.min(maxSliceBytes, 2 * this.sliceBytes);
    }
    return mayGoOn;
  }
}
