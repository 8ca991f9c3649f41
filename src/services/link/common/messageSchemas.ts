import * as v from 'valibot';
import { amountSchema, wholeNumberSchema } from '../../../base/common/boundedValues.js';
import { AcceleratorKind } from '../../model/common/model.js';
import { RunState } from '../../problem/common/problem.js';
import { suspectRecordSchema } from '../../suspects/common/suspectRecord.js';
import { FailureReason, MessageKind, SealOutcome, type LinkMessage } from './messages.js';

/** Largest index of a layer; work that depends on a range is done for each of its layers. */
const maxLayers = 65_536;

/** Largest length of the text of one token, in characters. */
const maxTokenCharacters = 4_096;

const layerSchema = v.pipe(wholeNumberSchema, v.maxValue(maxLayers));

const rangeSchema = v.pipe(
  v.object({ from: layerSchema, to: layerSchema }),
  v.check(({ from, to }) => from <= to),
);

const reportSchema = v.object({
  model: v.string(),
  range: rangeSchema,
  service: v.boolean(),
  accelerator: v.enum(AcceleratorKind),
  memoryMiB: amountSchema,
  layerMicros: amountSchema,
  stepMicros: amountSchema,
  active: wholeNumberSchema,
  capacity: amountSchema,
  leaving: v.boolean(),
  answering: v.boolean(),
  ready: v.boolean(),
  term: wholeNumberSchema,
});

const specSchema = v.object({
  attempt: v.string(),
  epoch: wholeNumberSchema,
  chain: v.pipe(
    v.array(
      v.object({
        endpoint: v.string(),
        incarnation: v.string(),
        address: v.string(),
        range: rangeSchema,
      }),
    ),
    v.minLength(1),
  ),
  model: v.string(),
  organisation: v.string(),
  revision: wholeNumberSchema,
  prices: v.record(v.enum(AcceleratorKind), amountSchema),
  entry: v.string(),
  maxTokens: wholeNumberSchema,
  priority: v.number(),
  submission: v.boolean(),
  suspect: v.boolean(),
  remainingMs: amountSchema,
});

const headersSchema = v.array(v.tuple([v.string(), v.string()]));

const numbersSchema = v.array(v.number());

const attemptEntries = { attempt: v.string(), epoch: wholeNumberSchema };

/** Fields of each kind of message; more may be present. */
const schemas: Readonly<Record<MessageKind, v.GenericSchema>> = {
  [MessageKind.Hello]: v.object({
    version: v.number(),
    instance: v.string(),
    incarnation: v.string(),
    role: v.string(),
    place: v.string(),
    region: v.string(),
    revision: wholeNumberSchema,
    report: v.optional(reportSchema),
  }),
  [MessageKind.Heartbeat]: v.object({
    revision: wholeNumberSchema,
    entries: v.optional(wholeNumberSchema),
    lowestRevision: v.optional(wholeNumberSchema),
    report: v.optional(reportSchema),
  }),
  [MessageKind.Start]: v.object({
    spec: specSchema,
    prompt: v.string(),
    delivered: numbersSchema,
  }),
  [MessageKind.Step]: v.object({
    ...attemptEntries,
    stage: wholeNumberSchema,
    step: wholeNumberSchema,
    data: numbersSchema,
    spec: v.optional(specSchema),
  }),
  [MessageKind.Token]: v.object({
    ...attemptEntries,
    step: wholeNumberSchema,
    token: v.number(),
    text: v.pipe(v.string(), v.maxLength(maxTokenCharacters)),
    end: v.boolean(),
  }),
  [MessageKind.AttemptFailed]: v.object({
    ...attemptEntries,
    reason: v.enum(FailureReason),
    run: v.enum(RunState),
    endpoint: v.string(),
    crash: v.optional(v.string()),
  }),
  [MessageKind.Cancel]: v.object({
    ...attemptEntries,
    submission: v.boolean(),
    relay: v.optional(v.boolean()),
  }),
  [MessageKind.Resume]: v.object({
    ...attemptEntries,
    fromStep: wholeNumberSchema,
    entry: v.string(),
  }),
  [MessageKind.Seal]: v.object({ attempt: v.string(), incarnation: v.string() }),
  [MessageKind.SealResult]: v.object({ attempt: v.string(), outcome: v.enum(SealOutcome) }),
  [MessageKind.Call]: v.object({
    attempt: v.string(),
    incarnation: v.string(),
    service: v.string(),
    organisation: v.string(),
    revision: wholeNumberSchema,
    method: v.string(),
    path: v.string(),
    headers: headersSchema,
    body: v.instance(Uint8Array),
    submission: v.boolean(),
    remainingMs: amountSchema,
  }),
  [MessageKind.CallResult]: v.object({
    attempt: v.string(),
    answer: v.optional(
      v.object({
        status: v.pipe(wholeNumberSchema, v.minValue(100), v.maxValue(999)),
        headers: headersSchema,
        body: v.instance(Uint8Array),
      }),
    ),
    reason: v.optional(v.enum(FailureReason)),
    run: v.enum(RunState),
  }),
  [MessageKind.Order]: v.object({
    term: wholeNumberSchema,
    model: v.string(),
    version: v.string(),
    range: rangeSchema,
  }),
  [MessageKind.OrderResult]: v.object({
    term: wholeNumberSchema,
    accepted: v.boolean(),
    highestTerm: wholeNumberSchema,
  }),
  [MessageKind.Leaving]: v.object({}),
  [MessageKind.Suspects]: v.object({ records: v.array(suspectRecordSchema) }),
};

const kindSchema = v.object({ kind: v.enum(MessageKind) });

/**
 * Returns whether a decoded value is a message whose fields have their types.
 *
 * @param value - Element of a decoded frame.
 */
export function isLinkMessage(value: unknown): value is LinkMessage {
  return v.is(kindSchema, value) && v.is(schemas[value.kind], value);
}
