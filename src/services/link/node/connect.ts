import { Err, Ok, type Result } from 'ts-results-es';
import { WebSocket } from 'ws';
import { IbissparError } from '../../../base/common/errors.js';
import {
  linkVersion,
  MessageKind,
  type HeartbeatMessage,
  type HelloMessage,
} from '../common/messages.js';
import { Link, type LinkTiming } from './link.js';
import { maxFrameBytes } from './linkServer.js';

/** A link could not be opened. */
export class LinkConnectError extends IbissparError {
  readonly code = 'link-connect';
}

/** What `connect` needs. */
export interface ConnectOptions {
  /** `host:port` of the peer. */
  readonly address: string;
  readonly timing: LinkTiming;
  readonly hello: HelloMessage;
  readonly heartbeat: () => HeartbeatMessage;
  /** Time for the connection and the peer's hello, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Opens a link and waits for the peer's hello.
 *
 * @param options - Where to connect and what to say.
 * @returns The link, whose `peer` is set, or why there is none.
 */
export function connect(options: ConnectOptions): Promise<Result<Link, LinkConnectError>> {
  return new Promise((resolve) => {
    const socket = new WebSocket(`ws://${options.address}`, {
      perMessageDeflate: false,
      maxPayload: maxFrameBytes,
    });
    const limit = setTimeout(() => fail('no hello within the time limit'), options.timeoutMs);
    function fail(reason: string): void {
      clearTimeout(limit);
      socket.removeAllListeners();
      socket.on('error', () => undefined);
      socket.terminate();
      resolve(Err(new LinkConnectError(`${options.address}: ${reason}`)));
    }
    socket.once('error', (err) => fail(err.message));
    socket.once('open', () => {
      socket.removeAllListeners('error');
      const link = new Link(socket, options.timing, options.heartbeat);
      link.send(options.hello);
      const first = link.onDidReceive((message) => {
        first.close();
        clearTimeout(limit);
        if (message.kind === MessageKind.Hello && message.version === linkVersion) {
          resolve(Ok(link));
        } else {
          link.close();
          resolve(Err(new LinkConnectError(`${options.address}: other link version`)));
        }
      });
      link.onDidEnd(() => fail('closed before the hello'));
    });
  });
}
