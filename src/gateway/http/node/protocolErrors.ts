import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';

const badRequestStatus = 400;

/** Statuses by the code of the parser's error. */
const statuses: ReadonlyMap<string | undefined, number> = new Map([
  ['HPE_HEADER_OVERFLOW', 431],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413],
  ['ERR_HTTP_REQUEST_TIMEOUT', 408],
]);

/**
 * Answers bytes that are no request.
 *
 * @param socket - Connection of the caller, on which no answer is being sent.
 * @param err - Error of the parser.
 */
export function writeRefusal(socket: Duplex, err: Error): void {
  const status = statuses.get((err as { code?: string }).code) ?? badRequestStatus;
  const reason = STATUS_CODES[status] ?? '';
  socket.write(`HTTP/1.1 ${status} ${reason}\r\nConnection: close\r\n\r\n`, 'latin1');
}
