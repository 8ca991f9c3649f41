import * as v from 'valibot';
import { amountSchema, wholeNumberSchema } from '../../../base/common/boundedValues.js';
import type { RequestRank } from './requestRank.js';

/** Demand for a service by requests of one rank. */
export interface RankDemand extends RequestRank {
  /** Requests that wait. */
  readonly waiting: number;
  /** Requests that arrived within {@link arrivalWindowMs}. */
  readonly arrived: number;
  /** Tokens that those reserve, for each layer. */
  readonly arrivedTokens: number;
  /** Requests that were admitted within {@link outcomeWindowMs}. */
  readonly admitted: number;
  /** Requests that were refused for lack of capacity within {@link outcomeWindowMs}. */
  readonly refused: number;
}

/** Recent use of a service by the requests of one organisation that have the same first priority. */
export interface OrganisationUse {
  readonly organisation: string;
  /** First priority of their ranks. */
  readonly first: number;
  /** Requests that wait. */
  readonly waiting: number;
  /** Tokens that requests reserve that arrived within {@link arrivalWindowMs}, for each layer. */
  readonly arrivedTokens: number;
  /** Tokens of requests that were admitted within {@link arrivalWindowMs}, for each layer. */
  readonly admittedTokens: number;
  /** Requests that were admitted within {@link outcomeWindowMs}. */
  readonly admitted: number;
  /** Requests that were refused for lack of capacity within {@link outcomeWindowMs}. */
  readonly refused: number;
  /** Tokens of all requests that were admitted since the process started, for each layer. */
  readonly servedTokens: number;
}

/** What a gateway tells its peers of the demand for one service while capacity is short. */
export interface DemandSummary {
  readonly service: string;
  /** Whether requests wait at the gateway, or were refused there lately for lack of capacity. */
  readonly isShort: boolean;
  readonly ranks: readonly RankDemand[];
  readonly organisations: readonly OrganisationUse[];
}

/** Window over which arrivals are measured, in milliseconds. Bursts of a few seconds must show in it. */
export const arrivalWindowMs = 2_000;

/**
 * Window over which admissions and refusals are measured, in milliseconds. Streams last 2 to 6 s, so that
 * the capacity that becomes free varies over shorter times.
 */
export const outcomeWindowMs = 4_000;

/*
 * Bounds of a message: 12 ranks and 10 organisations take about 700 bytes for each service. A deployment
 * has one or two model services.
 */
const maxServices = 4;
const maxRanks = 12;
const maxOrganisations = 10;
const maxNameLength = 64;

const rankSchema = v.pipe(
  v.tuple([
    amountSchema,
    amountSchema,
    wholeNumberSchema,
    wholeNumberSchema,
    amountSchema,
    wholeNumberSchema,
    wholeNumberSchema,
  ]),
  v.transform(
    ([first, second, waiting, arrived, arrivedTokens, admitted, refused]): RankDemand => ({
      first,
      second,
      waiting,
      arrived,
      arrivedTokens,
      admitted,
      refused,
    }),
  ),
);

const organisationSchema = v.pipe(
  v.tuple([
    v.pipe(v.string(), v.maxLength(maxNameLength)),
    amountSchema,
    wholeNumberSchema,
    amountSchema,
    amountSchema,
    wholeNumberSchema,
    wholeNumberSchema,
    amountSchema,
  ]),
  v.transform(
    ([
      organisation,
      first,
      waiting,
      arrivedTokens,
      admittedTokens,
      admitted,
      refused,
      servedTokens,
    ]): OrganisationUse => ({
      organisation,
      first,
      waiting,
      arrivedTokens,
      admittedTokens,
      admitted,
      refused,
      servedTokens,
    }),
  ),
);

/** Schema of the summaries of all services in a peer message. */
export const demandSummariesSchema = v.pipe(
  v.array(
    v.pipe(
      v.tuple([
        v.string(),
        v.boolean(),
        v.pipe(v.array(rankSchema), v.maxLength(maxRanks)),
        v.pipe(v.array(organisationSchema), v.maxLength(maxOrganisations)),
      ]),
      v.transform(([service, isShort, ranks, organisations]): DemandSummary => ({
        service,
        isShort,
        ranks,
        organisations,
      })),
    ),
  ),
  v.maxLength(maxServices),
);

/**
 * Encodes summaries as nested arrays without field names.
 *
 * @param summaries - Summaries by service. Of more than the message holds, the most urgent ranks and the
 *   organisations with the highest demand are kept.
 */
export function demandSummariesToWire(summaries: readonly DemandSummary[]): unknown {
  return summaries.slice(0, maxServices).map(({ service, isShort, ranks, organisations }) => [
    service,
    isShort,
    ranks
      .slice(0, maxRanks)
      .map((rank) => [
        rank.first,
        rank.second,
        rank.waiting,
        rank.arrived,
        Math.round(rank.arrivedTokens),
        rank.admitted,
        rank.refused,
      ]),
    organisations
      .filter(({ organisation }) => organisation.length <= maxNameLength)
      .slice(0, maxOrganisations)
      .map((use) => [
        use.organisation,
        use.first,
        use.waiting,
        Math.round(use.arrivedTokens),
        Math.round(use.admittedTokens),
        use.admitted,
        use.refused,
        Math.round(use.servedTokens),
      ]),
  ]);
}
