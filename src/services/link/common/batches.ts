import { sentBatchBytes, sentBatchMessages } from './linkBounds.js';
import { MessageKind, type LinkMessage } from './messages.js';

/** Usual size of a message without a body, in bytes. */
const usualMessageBytes = 256;

/** Size of an encoded number, in bytes. */
const numberBytes = 9;

/**
 * Divides messages into batches, each of which is sent in one frame.
 *
 * @param messages - Messages to send, in order.
 * @returns The batches; a message that is larger than a batch should be is alone in its batch.
 */
export function divideIntoBatches(messages: readonly LinkMessage[]): readonly LinkMessage[][] {
  const batches: LinkMessage[][] = [];
  let batchBytes = Infinity;
  for (const message of messages) {
    const bytes = estimateBytes(message);
    let batch = batches.at(-1);
    if (
      batch === undefined ||
      batch.length >= sentBatchMessages ||
      batchBytes + bytes > sentBatchBytes
    ) {
      batch = [];
      batches.push(batch);
      batchBytes = 0;
    }
    batch.push(message);
    batchBytes += bytes;
  }
  return batches;
}

function estimateBytes(message: LinkMessage): number {
  switch (message.kind) {
    case MessageKind.Start:
      return usualMessageBytes + message.prompt.length + numberBytes * message.delivered.length;
    case MessageKind.Step:
      return usualMessageBytes + numberBytes * message.data.length;
    case MessageKind.Call:
      return usualMessageBytes + message.body.length;
    case MessageKind.CallResult:
      return usualMessageBytes + (message.answer?.body.length ?? 0);
    case MessageKind.Suspects:
      return usualMessageBytes * (1 + message.records.length);
    default:
      return usualMessageBytes;
  }
}
