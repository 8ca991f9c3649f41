import type { Socket } from 'node:net';

/** How an endpoint ends the connection in the middle of its answer. */
export enum CutEnd {
  Close = 'close',
  Reset = 'reset',
}

const contentType = 'Content-Type: application/json\r\n';

/** Time that written bytes are given to reach the reader, in milliseconds. */
const resetDelayMs = 5;

const statusLine = 'HTTP/1.1 200 OK\r\n';

/** Returns the bytes of a whole answer. */
export function wholeAnswer(body: string, field = contentType): string {
  return `${statusLine}${field}Content-Length: ${body.length}\r\n\r\n${body}`;
}

/**
 * Returns the beginnings of an answer that is cut, by where it is cut.
 *
 * @param body - Body of the whole answer.
 * @param field - Field of its head, with the end of its line.
 */
export function cutAnswers(body: string, field = contentType): Readonly<Record<string, string>> {
  const length = `${statusLine}${field}Content-Length: ${body.length}\r\n`;
  const chunked = `${statusLine}${field}Transfer-Encoding: chunked\r\n\r\n`;
  const size = body.length.toString(16);
  return {
    'in the version': 'HTTP/1.',
    'in the status': 'HTTP/1.1 20',
    'after the status': 'HTTP/1.1 200',
    'after the status line': statusLine,
    'in a field name': `${statusLine}${field}X-Fil`,
    'after a field name': `${statusLine}${field}X-Filler`,
    'in a field value': `${statusLine}${field}X-Filler: va`,
    'in the name of the length': `${statusLine}${field}Content-Le`,
    'before the length': `${statusLine}${field}Content-Length: `,
    'in the length': `${statusLine}${field}Content-Length: ${String(body.length).slice(0, 1)}`,
    'after the length': length.slice(0, -2),
    'between the last field and the blank line': length,
    'in the blank line': `${length}\r`,
    'after the blank line': `${length}\r\n`,
    'in the body': `${length}\r\n${body.slice(0, 5)}`,
    'before the last byte of the body': `${length}\r\n${body.slice(0, -1)}`,
    'in the framing field': chunked.slice(0, -8),
    'after the blank line of a chunked answer': chunked,
    'in a chunk size': `${chunked}${size.slice(0, 1)}`,
    'after a chunk size': `${chunked}${size}\r\n`,
    'in a chunk': `${chunked}${size}\r\n${body.slice(0, 5)}`,
    'after the bytes of a chunk': `${chunked}${size}\r\n${body}`,
    'before the last chunk': `${chunked}${size}\r\n${body}\r\n`,
    'in the last chunk': `${chunked}${size}\r\n${body}\r\n0`,
    'after the last chunk': `${chunked}${size}\r\n${body}\r\n0\r\n`,
  };
}

/** Writes the beginning of an answer and ends the connection. */
export function writeCut(socket: Socket, begin: string, end: CutEnd): void {
  socket.write(begin, () => {
    if (end === CutEnd.Reset) {
      // What was written has reached the reader before the reset discards it.
      setTimeout(() => socket.resetAndDestroy(), resetDelayMs);
    } else {
      socket.end();
    }
  });
}
