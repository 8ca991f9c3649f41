import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Numbers of three digits that are the status of no answer here, neither a final nor an awaited interim one. */
export const invalidStatuses = ['000', '001', '099', '100', '101', '600', '601', '999'] as const;

/** What may stand in place of a status. */
export const noStatuses = [
  '',
  '0',
  '00',
  '20',
  '2000',
  '1000',
  '-20',
  '2x0',
  'OK',
  '２００',
] as const;

/** Server that answers whatever it reads with bytes that need not be an answer in the protocol. */
export class RawServer {
  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  /** Number of reads, which is that of the requests if each arrives in one piece. */
  requestCount = 0;

  /** @param answer - Returns the bytes to write, from those that were read. */
  constructor(private readonly answer: (request: string) => string) {
    this.server = createServer((socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('data', (bytes) => {
        this.requestCount += 1;
        socket.write(this.answer(bytes.toString('latin1')));
      });
    });
  }

  /** Starts to listen; returns `ip:port`. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Ends all connections. */
  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}
