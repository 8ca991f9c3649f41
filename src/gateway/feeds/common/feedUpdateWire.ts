import * as v from 'valibot';
import { amountSchema, wholeNumberSchema } from '../../../base/common/boundedValues.js';
import type { FeedUpdate, IUpdateCodec } from './feedUpdate.js';
import type { FeedEvent } from './feedSource.js';

/** Updates of a gateway about the feeds that it watches, with the changes still encoded. */
export interface FeedUpdateMessage {
  /** Instance name of the sending gateway. */
  readonly sender: string;
  /** Updates by the name of the feed. */
  readonly feeds: ReadonlyMap<string, FeedUpdate<unknown>>;
}

/** First element of a message with updates, by which it is told apart from the other messages of peers. */
const updateMarker = 'feed-update';

const messageSchema = v.tuple([
  v.literal(updateMarker),
  v.string(),
  v.array(
    v.tuple([
      v.string(),
      wholeNumberSchema,
      wholeNumberSchema,
      amountSchema,
      v.nullable(v.tuple([amountSchema, amountSchema])),
      // Batches: from, to, and the events as the object's name, whether it was deleted, and its content.
      v.array(
        v.tuple([
          wholeNumberSchema,
          wholeNumberSchema,
          v.array(v.tuple([v.string(), v.boolean(), v.nullable(v.unknown())])),
        ]),
      ),
    ]),
  ),
]);

/**
 * Encodes updates as nested arrays without field names, which keeps datagrams small.
 *
 * @param message - Updates whose objects a codec has encoded.
 * @returns Nested arrays of strings, numbers and encoded objects.
 */
export function updateToWire({ sender, feeds }: FeedUpdateMessage): unknown {
  return [
    updateMarker,
    sender,
    [...feeds].map(([name, { changedAt, knownTo, ageMs, outage, batches }]) => [
      name,
      changedAt,
      knownTo,
      Math.round(ageMs),
      outage ? [Math.round(outage.lastedMs), Math.round(outage.endedAgoMs)] : null,
      batches.map(({ from, to, events }) => [
        from,
        to,
        events.map(({ item, isDeleted }) => [item.name, isDeleted, item.value ?? null]),
      ]),
    ]),
  ];
}

/**
 * Decodes and validates updates, but for the content of the objects.
 *
 * @param wire - Unpacked datagram of a peer.
 * @returns The updates, or undefined if the datagram holds no valid ones.
 */
export function updateFromWire(wire: unknown): FeedUpdateMessage | undefined {
  // Most datagrams are other messages; a failed validation costs more than a valid message.
  if (!Array.isArray(wire) || wire[0] !== updateMarker) {
    return undefined;
  }
  const parsed = v.safeParse(messageSchema, wire, { abortEarly: true });
  if (!parsed.success) {
    return undefined;
  }
  const [, sender, feeds] = parsed.output;
  return {
    sender,
    feeds: new Map(
      feeds.map(([name, changedAt, knownTo, ageMs, outage, batches]) => [
        name,
        {
          changedAt,
          knownTo,
          ageMs,
          outage: outage ? { lastedMs: outage[0], endedAgoMs: outage[1] } : undefined,
          batches: batches.map(([from, to, events]) => ({
            from,
            to,
            events: events.map(([object, isDeleted, value]) => ({
              item: { name: object, value, decodeError: undefined },
              isDeleted,
            })),
          })),
        },
      ]),
    ),
  };
}

/**
 * Encodes the objects in an update.
 *
 * @param update - Update of a feed.
 * @param codec - Encodes the objects; undefined if updates of this kind only tell of the revisions.
 * @returns An update that can be packed. Objects whose content couldn't be decoded are sent as deleted ones,
 * since the receivers' copies hold neither.
 */
export function encodeUpdate<T>(
  update: FeedUpdate<T>,
  codec: IUpdateCodec<T> | undefined,
): FeedUpdate<unknown> {
  const encodeEvent = ({ item: { name, value }, isDeleted }: FeedEvent<T>): FeedEvent<unknown> =>
    isDeleted || value === undefined
      ? { item: { name, value: undefined, decodeError: undefined }, isDeleted: true }
      : { item: { name, value: codec?.encode(value), decodeError: undefined }, isDeleted: false };
  return {
    ...update,
    batches:
      codec === undefined
        ? []
        : update.batches.map(({ from, to, events }) => ({
            from,
            to,
            events: events.map(encodeEvent),
          })),
  };
}

/**
 * Decodes the objects in an update.
 *
 * @param update - Update as received.
 * @param codec - Decodes the objects; undefined if updates of this kind only tell of the revisions.
 * @returns The update without the changes from the first one on that isn't valid.
 */
export function decodeUpdate<T>(
  update: FeedUpdate<unknown>,
  codec: IUpdateCodec<T> | undefined,
): FeedUpdate<T> {
  const batches = update.batches.map(({ from, to, events }) => ({
    from,
    to,
    events: events.map(({ item, isDeleted }) => ({
      item: { ...item, value: isDeleted ? undefined : codec?.decode(item.value) },
      isDeleted,
    })),
  }));
  const firstInvalid = batches.findIndex(({ events }) =>
    events.some(({ item, isDeleted }) => !isDeleted && item.value === undefined),
  );
  return { ...update, batches: firstInvalid < 0 ? batches : batches.slice(0, firstInvalid) };
}
