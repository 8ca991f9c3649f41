/** TCP proxy between one gateway and the store, which can cut them from each other. */
import { connect, createServer } from 'node:net';

export class StoreProxy {
  #sockets = new Set();

  #isCut = false;

  #server = createServer((socket) => this.#accept(socket));

  /** @param storeAddress - Address of the store. */
  constructor(storeAddress) {
    this.storeAddress = storeAddress;
  }

  /** Starts listening and returns the address for the gateway. */
  async listen() {
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${this.#server.address().port}`;
  }

  /** Resets all connections, and each new one. */
  cut() {
    this.#isCut = true;
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  heal() {
    this.#isCut = false;
  }

  close() {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #accept(socket) {
    socket.on('error', () => undefined);
    if (this.#isCut) {
      socket.resetAndDestroy();
      return;
    }
    const [host, port] = this.storeAddress.split(':');
    const upstream = connect(Number(port), host);
    [socket, upstream].forEach((each) => {
      this.#sockets.add(each);
      each.on('error', () => undefined);
      each.on('close', () => {
        this.#sockets.delete(each);
        socket.destroy();
        upstream.destroy();
      });
    });
    socket.pipe(upstream);
    upstream.pipe(socket);
  }
}
