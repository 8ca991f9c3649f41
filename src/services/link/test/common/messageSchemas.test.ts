import { expect } from 'chai';
import { AcceleratorKind } from '../../../model/common/model.js';
import { RunState } from '../../../problem/common/problem.js';
import {
  FailureReason,
  linkVersion,
  MessageKind,
  SealOutcome,
  type LinkMessage,
} from '../../common/messages.js';
import { isLinkMessage } from '../../common/messageSchemas.js';

const range = { from: 0, to: 8 };
const report = {
  model: '',
  range,
  service: false,
  accelerator: AcceleratorKind.Edge,
  memoryMiB: 0,
  layerMicros: 0.5,
  stepMicros: 1.5,
  active: 0,
  capacity: 4,
  leaving: false,
  answering: true,
  ready: false,
  term: 0,
};
const spec = {
  attempt: 'a',
  epoch: 1,
  chain: [{ endpoint: 'e', incarnation: 'e-1', address: '127.0.0.1:1', range }],
  model: 'm',
  organisation: 'o',
  revision: 3,
  prices: { large: 1, medium: 2, small: 3, edge: 4, legacy: 5 },
  entry: 'entry',
  maxTokens: 8,
  priority: 0,
  submission: false,
  suspect: false,
  remainingMs: 12.5,
};
const call = { attempt: 'a', incarnation: 'e-1', organisation: 'o', revision: 3 };
const run = RunState.Unknown;
const body = Buffer.from('b');
const hello = { version: linkVersion, instance: 'i', incarnation: 'i-1', role: 'agent' };

/** One message of each kind with all of its fields. */
const messages: readonly LinkMessage[] = [
  { kind: MessageKind.Hello, ...hello, place: 'p', region: 'r', revision: 0, report },
  { kind: MessageKind.Heartbeat, revision: 0, entries: 1, lowestRevision: 0, report },
  { kind: MessageKind.Start, spec, prompt: 'p', delivered: [1] },
  { kind: MessageKind.Step, attempt: 'a', epoch: 1, stage: 0, step: 0, data: [-0.5], spec },
  { kind: MessageKind.Token, attempt: 'a', epoch: 1, step: 0, token: 7, text: 't', end: false },
  {
    kind: MessageKind.AttemptFailed,
    attempt: 'a',
    epoch: 1,
    reason: FailureReason.Busy,
    run,
    endpoint: 'e',
    crash: 'c',
  },
  { kind: MessageKind.Cancel, attempt: 'a', epoch: 1, submission: false, relay: true },
  { kind: MessageKind.Resume, attempt: 'a', epoch: 1, fromStep: 0, entry: 'e' },
  { kind: MessageKind.Seal, attempt: 'a', incarnation: 'e-1' },
  { kind: MessageKind.SealResult, attempt: 'a', outcome: SealOutcome.Ran },
  {
    kind: MessageKind.Call,
    ...call,
    service: 's',
    method: 'GET',
    path: '/',
    headers: [['a', 'b']],
    body,
    submission: false,
    remainingMs: 1,
  },
  {
    kind: MessageKind.CallResult,
    attempt: 'a',
    answer: { status: 200, headers: [['a', 'b']], body },
    reason: FailureReason.Busy,
    run,
  },
  { kind: MessageKind.Order, term: 1, model: 'm', version: 'v', range },
  { kind: MessageKind.OrderResult, term: 1, accepted: true, highestTerm: 1 },
  { kind: MessageKind.Leaving },
  {
    kind: MessageKind.Suspects,
    records: [{ fingerprint: 'f', crashes: ['c'], cleared: [], requests: [], runner: '', atMs: 1 }],
  },
];

const wrongValues = [null, {}, [[]], 'text', -1, Number.NaN];

describe('isLinkMessage', () => {
  messages.forEach((message) => {
    it(`accepts ${MessageKind[message.kind]}, and refuses fields of other types`, () => {
      expect(isLinkMessage(message)).to.equal(true);
      Object.keys(message).forEach((key) => {
        const accepted = wrongValues.filter((value) => isLinkMessage({ ...message, [key]: value }));
        const current = (message as unknown as Readonly<Record<string, unknown>>)[key];
        const isOfSameType = (value: unknown) => typeof value === typeof current;
        expect(accepted.every(isOfSameType), key).to.equal(true);
        expect(accepted, key).not.to.include(null);
      });
    });
  });

  it('refuses values that are no messages', () => {
    [null, undefined, 1, 'a', [], {}, { kind: 99 }].forEach((value) =>
      expect(isLinkMessage(value)).to.equal(false),
    );
  });
});
