import { createHash } from 'node:crypto';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Text that the protocol appends to a key before it is hashed. */
const acceptSuffix = '258EAFA5-E914-47DA-95CA-C5AB0DC85B11';

/** Opcodes of the web socket protocol. */
export enum Opcode {
  Continuation = 0,
  Binary = 2,
  Ping = 9,
  Pong = 10,
}

/**
 * Encodes the beginning of a frame.
 *
 * @param opcode - Its opcode.
 * @param isFinal - Whether the message ends with it.
 * @param length - Length that it names, in bytes.
 * @param isMasked - Whether a client sends it; the mask is zero.
 */
export function frameHead(
  opcode: Opcode,
  isFinal: boolean,
  length: number,
  isMasked: boolean,
): Buffer {
  const maskBit = isMasked ? 0x80 : 0;
  const head = Buffer.alloc(10);
  head[0] = (isFinal ? 0x80 : 0) + opcode;
  let end = 2;
  if (length < 126) {
    head[1] = maskBit + length;
  } else if (length < 65_536) {
    head[1] = maskBit + 126;
    head.writeUInt16BE(length, 2);
    end = 4;
  } else {
    head[1] = maskBit + 127;
    head.writeBigUInt64BE(BigInt(length), 2);
    end = 10;
  }
  return Buffer.concat([head.subarray(0, end), Buffer.alloc(isMasked ? 4 : 0)]);
}

/** Writes the same bytes again whenever they were sent, until the connection closes. */
export function writeForever(socket: Socket, bytes: Buffer): void {
  const write = (): void => {
    while (!socket.destroyed) {
      if (!socket.write(bytes)) {
        return;
      }
    }
  };
  socket.on('drain', write);
  write();
}

/** Opens a connection to a server of links, and asks for the upgrade. */
export async function openRawClient(port: number): Promise<Socket> {
  const socket = connect({ host: '127.0.0.1', port });
  socket.on('error', () => undefined);
  socket.write(
    'GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n' +
      'Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n',
  );
  await once(socket, 'data');
  return socket;
}

/**
 * Starts a server that answers upgrades with arbitrary bytes.
 *
 * @param onRequest - Called with each connection and the head of a proper answer.
 */
export async function startRawServer(
  onRequest: (socket: Socket, head: string) => void,
): Promise<{ readonly server: Server; readonly address: string }> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', (bytes) => {
      const key = /sec-websocket-key: (.*)\r/i.exec(String(bytes))?.[1] ?? '';
      const accept = createHash('sha1')
        .update(key + acceptSuffix)
        .digest('base64');
      const head =
        'HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n' +
        `Sec-WebSocket-Accept: ${accept}\r\n`;
      socket.on('data', () => undefined);
      onRequest(socket, head);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}
