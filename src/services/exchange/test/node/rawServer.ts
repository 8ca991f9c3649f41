import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Statuses of three digits that no final answer of an endpoint may have, and that begin none. */
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

const idPattern = /x-ibisspar-request-id: *(\S+)/i;

/** Server that writes the same bytes in answer to each request without a body, or after its first bytes. */
export class RawServer {
  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  requestCount = 0;

  /** @param answer - Returns the answer to a request, from its id. */
  constructor(private readonly answer: (id: string) => string) {
    this.server = createServer((socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('data', (bytes) => {
        this.requestCount += 1;
        socket.write(this.answer(idPattern.exec(bytes.toString('latin1'))?.[1] ?? ''));
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
