import { createConnection, type NetConnectOpts, type Socket } from 'node:net';
import { Err, Ok, type Result } from 'ts-results-es';
import { WebSocket } from 'ws';
import { IbissparError } from '../../../base/common/errors.js';
import type { AnswerIntake } from '../../exchange/node/answerIntake.js';
import {
  linkVersion,
  MessageKind,
  type HeartbeatMessage,
  type HelloMessage,
} from '../common/messages.js';
import { ParserMode, ReadGate } from '../../intake/node/readGate.js';
import { maxFrameBytesFor, webSocketOptions } from '../common/linkBounds.js';
import { Link, type LinkTiming } from './link.js';

/** Bytes that are read of the answer to the upgrade, interim answers included; the usual one has 130. */
const maxHeadBytes = 16_384;

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
  /** Bounds what links make the process hold; not bounded if undefined. */
  readonly answers?: AnswerIntake;
  /** Size of the largest body that a message of the peer carries, in bytes. */
  readonly maxBodyBytes?: number;
}

/**
 * Opens a link and waits for the peer's hello.
 *
 * @param options - Address of the peer, timing and the messages to send.
 * @returns The link with its `peer` set, or the reason why it could not be opened.
 */
export function connect(options: ConnectOptions): Promise<Result<Link, LinkConnectError>> {
  return new Promise((resolve) => {
    const { answers } = options;
    const maxFrameBytes = maxFrameBytesFor(options.maxBodyBytes);
    let connection: Socket | undefined;
    let isUpgraded = false;
    const openConnection = (connectOptions: NetConnectOpts): Socket => {
      const opened = createConnection(connectOptions);
      connection = opened;
      let headBytes = 0;
      // A peer that writes without end would be parsed for as long as it has bytes.
      const gate = new ReadGate(opened, ParserMode.Flowing, (bytes) => {
        headBytes += isUpgraded ? 0 : bytes;
        if (!isUpgraded && headBytes > maxHeadBytes) {
          gate.close();
          opened.destroy(new LinkConnectError(`no upgrade within ${maxHeadBytes} bytes`));
        }
      });
      return opened;
    };
    const socket = new WebSocket(`ws://${options.address}`, {
      ...webSocketOptions(maxFrameBytes),
      createConnection: openConnection as typeof createConnection,
    });
    socket.once('upgrade', () => {
      isUpgraded = true;
    });
    const timeout = setTimeout(
      () => fail(`no hello within ${options.timeoutMs} ms`),
      options.timeoutMs,
    );
    let link: Link | undefined;
    let hasFailed = false;
    function fail(reason: string): void {
      if (hasFailed) {
        return;
      }
      hasFailed = true;
      clearTimeout(timeout);
      link?.close();
      socket.removeAllListeners();
      socket.on('error', () => undefined);
      socket.terminate();
      resolve(Err(new LinkConnectError(`${options.address}: ${reason}`)));
    }
    socket.once('error', (err) => fail(err.message));
    socket.once('open', () => {
      if (connection === undefined) {
        fail('no connection');
        return;
      }
      socket.removeAllListeners('error');
      const linkSocket = { socket, connection, maxFrameBytes, answers };
      const opened = new Link(linkSocket, options.timing, options.createHeartbeat);
      link = opened;
      opened.send(options.hello);
      const subscription = opened.onDidReceive((message) => {
        subscription.close();
        clearTimeout(timeout);
        if (message.kind === MessageKind.Hello && message.version === linkVersion) {
          resolve(Ok(opened));
        } else {
          opened.close();
          resolve(
            Err(
              new LinkConnectError(
                `${options.address}: peer did not send a hello of link version ${linkVersion}`,
              ),
            ),
          );
        }
      });
      opened.onDidEnd(() => fail('link ended before the peer sent its hello'));
    });
  });
}
