import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';

const badRequestStatus = 400;

const requestTimeoutStatus = 408;

/** Time after which a caller may repeat a request whose head didn't arrive in time, in seconds. */
const retryAfterSeconds = '1.00';

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
  const retryAfter = status === requestTimeoutStatus ? `Retry-After: ${retryAfterSeconds}\r\n` : '';
  socket.write(`HTTP/1.1 ${status} ${reason}\r\n${retryAfter}Connection: close\r\n\r\n`, 'latin1');
}
