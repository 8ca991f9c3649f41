import type { Socket } from 'node:net';

/**
 * Holds back what a socket receives, and its end, from the HTTP client that reads the socket.
 *
 * The pause of the client itself is not used: an assertion of the client fails, and ends the process, if
 * the connection ends while an answer without a length is paused.
 */
export class ReadGate {
  private isShut = false;

  /** @param socket - Socket whose reader calls `read` on each `readable` event. */
  constructor(private readonly socket: Socket) {
    const read = socket.read.bind(socket);
    socket.read = (size) => (this.isShut ? null : (read(size) as unknown));
  }

  /** Holds back all further data until the gate is opened. */
  shut(): void {
    this.isShut = true;
  }

  /** Lets the reader go on, after the code that is running has returned. */
  open(): void {
    if (!this.isShut) {
      return;
    }
    this.isShut = false;
    process.nextTick(() => {
      if (!this.isShut && !this.socket.destroyed) {
        this.socket.emit('readable');
      }
    });
  }
}
