import * as v from 'valibot';
import type { FeedBatch, FeedNews, INewsCodec } from './feedNews.js';
import type { FeedEvent } from './feedSource.js';

/** News of a gateway about the feeds that it watches, with the changes still encoded. */
export interface FeedNewsMessage {
  /** Instance name of the sending gateway. */
  readonly sender: string;
  /** News by the name of the feed. */
  readonly feeds: ReadonlyMap<string, FeedNews<unknown>>;
}

/** First element of a message with news, by which it is told apart from the other messages of peers. */
const newsMarker = 'feed-news';

const revision = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const duration = v.pipe(v.number(), v.finite(), v.minValue(0));

const messageSchema = v.tuple([
  v.literal(newsMarker),
  v.string(),
  v.array(
    v.tuple([
      v.string(),
      revision,
      revision,
      duration,
      v.nullable(v.tuple([duration, duration])),
      // Batches: from, to, and the events as the object's name, whether it was deleted, and its content.
      v.array(
        v.tuple([
          revision,
          revision,
          v.array(v.tuple([v.string(), v.boolean(), v.nullable(v.unknown())])),
        ]),
      ),
    ]),
  ),
]);

/**
 * Encodes news as nested arrays without field names, which keeps datagrams small.
 *
 * @param message - News whose objects a codec has encoded.
 * @returns Nested arrays of strings, numbers and encoded objects.
 */
export function newsToWire({ sender, feeds }: FeedNewsMessage): unknown {
  return [
    newsMarker,
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
 * Decodes and validates news, but for the content of the objects.
 *
 * @param wire - Unpacked datagram of a peer.
 * @returns The news, or undefined if the datagram holds no valid ones.
 */
export function newsFromWire(wire: unknown): FeedNewsMessage | undefined {
  // Most datagrams are other messages; a failed validation costs more than a valid message.
  if (!Array.isArray(wire) || wire[0] !== newsMarker) {
    return undefined;
  }
  const parsed = v.safeParse(messageSchema, wire);
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
 * Encodes the objects in news.
 *
 * @param news - News of a feed.
 * @param codec - Encodes the objects; undefined if news of this kind only tell of the revisions.
 * @returns News that can be packed. Changes that can't be encoded are left out with all before them.
 */
export function encodeNews<T>(
  news: FeedNews<T>,
  codec: INewsCodec<T> | undefined,
): FeedNews<unknown> {
  const isSendable = (event: FeedEvent<T>) => event.isDeleted || event.item.value !== undefined;
  const isBatchSendable = ({ events }: FeedBatch<T>) => events.every(isSendable);
  const firstSendable = news.batches.map(isBatchSendable).lastIndexOf(false) + 1;
  return {
    ...news,
    batches:
      codec === undefined
        ? []
        : news.batches.slice(firstSendable).map(({ from, to, events }) => ({
            from,
            to,
            events: events.map(({ item, isDeleted }) => ({
              item: {
                ...item,
                value: isDeleted || item.value === undefined ? undefined : codec.encode(item.value),
              },
              isDeleted,
            })),
          })),
  };
}

/**
 * Decodes the objects in news.
 *
 * @param news - News as received.
 * @param codec - Decodes the objects; undefined if news of this kind only tell of the revisions.
 * @returns The news without the changes from the first one on that isn't valid.
 */
export function decodeNews<T>(
  news: FeedNews<unknown>,
  codec: INewsCodec<T> | undefined,
): FeedNews<T> {
  const batches = news.batches.map(({ from, to, events }) => ({
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
  return { ...news, batches: firstInvalid < 0 ? batches : batches.slice(0, firstInvalid) };
}
