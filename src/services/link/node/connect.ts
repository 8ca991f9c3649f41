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

/** Error of a link that could not be opened; the message gives the reason. */
export class LinkConnectError extends IbissparError {
  readonly code = 'link-connect';
}

/** Options of {@link connect}. */
export interface ConnectOptions {
  /** Address of the peer, as `host:port`. */
  readonly address: string;
  readonly timing: LinkTiming;
  readonly hello: HelloMessage;
  readonly createHeartbeat: () => HeartbeatMessage;
  /** Maximum time to open the connection and receive the peer's hello, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Opens a link and waits for the peer's hello.
 *
 * @param options - Address of the peer, timing and the messages to send.
 * @returns The link with its `peer` set, or the reason why it could not be opened.
 */
export function connect(options: ConnectOptions): Promise<Result<Link, LinkConnectError>> {
  return new Promise((resolve) => {
    const socket = new WebSocket(`ws://${options.address}`, {
      perMessageDeflate: false,
      maxPayload: maxFrameBytes,
    });
    const timeout = setTimeout(
      () => fail(`no hello within ${options.timeoutMs} ms`),
      options.timeoutMs,
    );
    function fail(reason: string): void {
      clearTimeout(timeout);
      socket.removeAllListeners();
      socket.on('error', () => undefined);
      socket.terminate();
      resolve(Err(new LinkConnectError(`${options.address}: ${reason}`)));
    }
    socket.once('error', (err) => fail(err.message));
    socket.once('open', () => {
      socket.removeAllListeners('error');
      const link = new Link(socket, options.timing, options.createHeartbeat);
      link.send(options.hello);
      const subscription = link.onDidReceive((message) => {
        subscription.close();
        clearTimeout(timeout);
        if (message.kind === MessageKind.Hello && message.version === linkVersion) {
          resolve(Ok(link));
        } else {
          link.close();
          resolve(
            Err(
              new LinkConnectError(
                `${options.address}: peer did not send a hello of link version ${linkVersion}`,
              ),
            ),
          );
        }
      });
      link.onDidEnd(() => fail('link ended before the peer sent its hello'));
    });
  });
}
