import * as v from 'valibot';
import { amountSchema, wholeNumberSchema } from '../../../base/common/boundedValues.js';
import { suspectRecordSchema } from '../../../services/suspects/common/suspectRecord.js';
import {
  limitReportSchema,
  limitReportToWire,
  type LimitReport,
} from '../../limits/common/limitReport.js';
import type { EndpointLoad } from '../../routing/common/endpointLoad.js';
import {
  demandSummariesSchema,
  demandSummariesToWire,
  type DemandSummary,
} from '../../scheduling/common/demandSummary.js';
import type { SuspicionReport } from '../../suspects/common/crashProtection.js';

/** Endpoint as a peer knows it. */
export interface PeerEndpoint {
  readonly address: string;
  /** Unix time of its start, in milliseconds; undefined if the peer runs a version that doesn't tell. */
  readonly startedMs: number | undefined;
}

/** State that a gateway sends to its peers several times a second. */
export interface PeerMessage extends SuspicionReport {
  /** Instance name of the sending gateway. */
  readonly sender: string;
  /** Version of the sender's current configuration. */
  readonly configVersion: number;
  readonly loads: ReadonlyMap<string, EndpointLoad>;
  /** Endpoints that the sender avoids because they didn't answer. */
  readonly suspects: readonly PeerEndpoint[];
  /** Addresses of endpoints that recently refused a request of the sender for lack of capacity. */
  readonly full: readonly string[];
  /** Endpoints that drain, according to the store. */
  readonly draining: readonly PeerEndpoint[];
  /** Endpoints that rejected all streams of the sender. */
  readonly rejecting: readonly PeerEndpoint[];
  /** Some of the incarnations of endpoints that recently left the store, as the sender saw it. */
  readonly departed: readonly string[];
  /** What the sender knows of limits that endpoints name. */
  readonly limits: readonly LimitReport[];
  /** Lease term under which the sender places layers; 0 if it doesn't hold the lease. */
  readonly placingTerm: number;
  /** Demand for the services that are short of capacity; empty if none is. */
  readonly demand: readonly DemandSummary[];
}

const messageSchema = v.tuple([
  v.string(),
  amountSchema,
  v.array(
    v.tuple([
      v.string(),
      amountSchema,
      amountSchema,
      amountSchema,
      amountSchema,
      // Prompt tokens in prefill, and those of them that belong to long prompts.
      v.optional(v.tuple([wholeNumberSchema, wholeNumberSchema])),
    ]),
  ),
  v.array(v.string()),
  v.array(v.string()),
  wholeNumberSchema,
  v.optional(v.array(v.string()), []),
  v.optional(v.array(suspectRecordSchema), []),
  v.optional(v.array(v.string()), []),
  v.optional(v.array(v.string()), []),
  v.optional(v.array(limitReportSchema), []),
  // Start times of the suspects and then of the draining endpoints.
  v.optional(v.array(v.nullable(wholeNumberSchema)), []),
  v.optional(demandSummariesSchema, []),
  // Addresses and start times of the rejecting endpoints.
  v.optional(v.array(v.tuple([v.string(), v.nullable(wholeNumberSchema)])), []),
]);

/**
 * Encodes a message as nested arrays without field names, which keeps datagrams small.
 *
 * @param message - The message to encode.
 * @returns Nested arrays of strings and numbers.
 */
export function toWire(message: PeerMessage): unknown {
  const loads = [...message.loads].map(([address, load]) => [
    address,
    Math.round(load.tokenLayers),
    load.requests,
    load.firstStageRequests,
    Math.round(load.prefillMs),
    ...(load.promptTokens
      ? [[Math.round(load.promptTokens), Math.round(load.longPromptTokens ?? 0)]]
      : []),
  ]);
  const { sender, configVersion, suspects, draining, placingTerm, full } = message;
  const { suspectRequests, isolated, departed, limits, demand, rejecting } = message;
  return [
    sender,
    configVersion,
    loads,
    suspects.map(({ address }) => address),
    draining.map(({ address }) => address),
    placingTerm,
    full,
    suspectRequests,
    isolated,
    departed,
    limits.map(limitReportToWire),
    [...suspects, ...draining].map(({ startedMs }) => startedMs ?? null),
    ...(demand.length + rejecting.length > 0 ? [demandSummariesToWire(demand)] : []),
    ...(rejecting.length > 0
      ? [rejecting.map(({ address, startedMs }) => [address, startedMs ?? null])]
      : []),
  ];
}

/**
 * Decodes and validates a message.
 *
 * @param wire - Unpacked datagram of a peer.
 * @returns The message, or undefined if the datagram isn't a valid one.
 */
export function fromWire(wire: unknown): PeerMessage | undefined {
  const parsed = v.safeParse(messageSchema, wire, { abortEarly: true });
  if (!parsed.success) {
    return undefined;
  }
  const [sender, configVersion, loads, suspects, draining, placingTerm, full, ...report] =
    parsed.output;
  const [suspectRequests, isolated, departed, limits, startTimes, demand, rejecting] = report;
  const endpointAt = (address: string, index: number): PeerEndpoint => ({
    address,
    startedMs: startTimes[index] ?? undefined,
  });
  return {
    sender,
    configVersion,
    suspects: suspects.map(endpointAt),
    draining: draining.map((address, index) => endpointAt(address, suspects.length + index)),
    placingTerm,
    full,
    suspectRequests,
    isolated,
    departed,
    limits,
    demand,
    rejecting: rejecting.map(([address, startedMs]) => ({
      address,
      startedMs: startedMs ?? undefined,
    })),
    loads: new Map(
      loads.map(([address, tokenLayers, requests, firstStageRequests, prefillMs, tokens]) => [
        address,
        {
          tokenLayers,
          requests,
          firstStageRequests,
          prefillMs,
          ...(tokens && { promptTokens: tokens[0], longPromptTokens: tokens[1] }),
        },
      ]),
    ),
  };
}
