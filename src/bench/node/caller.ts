import { performance } from 'node:perf_hooks';
import { Agent, request } from 'undici';
import { sha256Hex } from '../../base/common/digest.js';
import { toErrorMessage } from '../../base/common/errors.js';
import { RunState, type Problem } from '../../services/problem/common/problem.js';
import { referenceAnswer } from '../../standin/common/fakeModel.js';
import { CallEnd } from '../faults/common/records.js';
import { bearerKeyOf } from './fleet.js';

/** Parameters of a streamed chat call. */
export interface ChatCall {
  readonly url: string;
  readonly organisation: string;
  readonly model: string;
  /** Number of layers of the model; the reference answer depends on it. */
  readonly layers: number;
  readonly content: string;
  readonly maxTokens: number;
  /** Key of a submission; undefined for a lookup. */
  readonly idempotencyKey?: string;
  readonly timeoutMs?: number;
}

/** Result of a call, as the caller measured it. */
export interface CallResult {
  readonly end: CallEnd;
  readonly run: RunState | undefined;
  /** HTTP status; 0 if no response came. */
  readonly status: number;
  readonly detail: string;
  readonly startedMs: number;
  readonly endedMs: number;
  /** Time to the first token, in milliseconds; undefined if no token came. */
  readonly firstTokenMs: number | undefined;
  /** Times between successive tokens, in milliseconds. */
  readonly gapsMs: readonly number[];
  readonly tokens: number;
  readonly retryAfter: string | undefined;
}

const dispatcher = new Agent({ connections: 1_024, headersTimeout: 0, bodyTimeout: 0 });

/** Time after which a caller aborts a call, in milliseconds. */
const callerTimeoutMs = 90_000;

/** Data of one server-sent event: a part of the answer, its trailer or an error. */
interface Chunk {
  readonly choices?: readonly { readonly delta: { readonly content?: string } }[];
  readonly ibisspar?: { readonly tokens: number; readonly sha256: string };
  readonly run?: RunState;
  readonly detail?: string;
}

/** Parses the server-sent events of a chat answer and measures the times between tokens. */
class StreamReader {
  text = '';

  tokens = 0;

  /** Number and digest of the tokens that the entry sent, from the end of the answer. */
  trailer: Chunk['ibisspar'];

  errorChunk: Chunk | undefined;

  isDone = false;

  firstTokenAtMs: number | undefined;

  private lastTokenAtMs = 0;

  readonly gapsMs: number[] = [];

  private unparsed = '';

  push(data: string): void {
    this.unparsed += data;
    const parts = this.unparsed.split('\n\n');
    this.unparsed = parts.pop() ?? '';
    parts.forEach((part) => this.handleEvent(part));
  }

  private handleEvent(part: string): void {
    const data = part.slice(part.indexOf('data: ') + 'data: '.length);
    if (data === '[DONE]') {
      this.isDone = true;
      return;
    }
    const chunk = JSON.parse(data) as Chunk;
    if (part.startsWith('event: error')) {
      this.errorChunk = chunk;
      return;
    }
    this.trailer = chunk.ibisspar ?? this.trailer;
    const content = chunk.choices?.[0]?.delta.content;
    if (content !== undefined) {
      this.recordToken(content);
    }
  }

  private recordToken(content: string): void {
    const nowMs = performance.now();
    if (this.firstTokenAtMs === undefined) {
      this.firstTokenAtMs = nowMs;
    } else {
      this.gapsMs.push(nowMs - this.lastTokenAtMs);
    }
    this.lastTokenAtMs = nowMs;
    this.tokens += 1;
    this.text += content;
  }
}

/** Returns the result of a call that ends now, without an answer. */
function emptyResult(startedMs: number, end: CallEnd): CallResult {
  return {
    end,
    run: undefined,
    status: 0,
    detail: '',
    startedMs,
    endedMs: performance.now(),
    firstTokenMs: undefined,
    gapsMs: [],
    tokens: 0,
    retryAfter: undefined,
  };
}

/** Returns whether an answer equals the reference answer and matches its own trailer. */
function isCompleteAnswer(call: ChatCall, reader: StreamReader): boolean {
  const expected = referenceAnswer(call.layers, `user: ${call.content}`, call.maxTokens);
  const sha256 = sha256Hex(reader.text);
  return (
    reader.text === expected &&
    reader.trailer?.sha256 === sha256 &&
    reader.trailer.tokens === reader.tokens
  );
}

/**
 * Makes a streamed chat call and checks the answer against the reference model.
 *
 * @param call - Parameters of the call.
 * @returns The result; errors of the connection are part of it, not thrown.
 */
export async function chat(call: ChatCall): Promise<CallResult> {
  const startedMs = performance.now();
  const reader = new StreamReader();
  const createResult = (end: CallEnd, overrides: Partial<CallResult> = {}): CallResult => ({
    ...emptyResult(startedMs, end),
    firstTokenMs:
      reader.firstTokenAtMs === undefined ? undefined : reader.firstTokenAtMs - startedMs,
    gapsMs: reader.gapsMs,
    tokens: reader.tokens,
    ...overrides,
  });
  try {
    const res = await request(`${call.url}/v1/chat/completions`, {
      method: 'POST',
      dispatcher,
      signal: AbortSignal.timeout(callerTimeoutMs),
      headers: headersOf(call.organisation, call.idempotencyKey, call.timeoutMs),
      body: JSON.stringify({
        model: call.model,
        messages: [{ role: 'user', content: call.content }],
        max_tokens: call.maxTokens,
        stream: true,
      }),
    });
    if (res.statusCode !== 200) {
      const problemBody = (await res.body.json()) as Problem;
      const retryAfter = res.headers['retry-after'] as string | undefined;
      const { run, detail } = problemBody;
      return createResult(CallEnd.Problem, { run, detail, status: res.statusCode, retryAfter });
    }
    res.body.setEncoding('utf8');
    for await (const data of res.body) {
      reader.push(data as string);
    }
    const status = 200;
    if (reader.errorChunk) {
      const { run, detail } = reader.errorChunk;
      return createResult(CallEnd.Problem, { run, detail, status });
    }
    if (!reader.isDone) {
      return createResult(CallEnd.Broken, { status });
    }
    return createResult(isCompleteAnswer(call, reader) ? CallEnd.Complete : CallEnd.Wrong, {
      status,
    });
  } catch (err) {
    return createResult(CallEnd.Broken, { detail: toErrorMessage(err) });
  }
}

function headersOf(
  organisation: string,
  idempotencyKey: string | undefined,
  timeoutMs: number | undefined,
): Record<string, string> {
  return {
    authorization: `Bearer ${bearerKeyOf(organisation)}`,
    'content-type': 'application/json',
    ...(idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey }),
    ...(timeoutMs === undefined ? {} : { 'x-request-timeout-ms': String(timeoutMs) }),
  };
}

/** Parameters of a plain-service call. */
export interface ServiceCallSpec {
  readonly url: string;
  readonly organisation: string;
  readonly service: string;
  readonly path: string;
  /** Key of a submission; undefined for a lookup. */
  readonly idempotencyKey?: string;
  readonly body?: string;
  readonly timeoutMs?: number;
}

/**
 * Makes a plain-service call.
 *
 * @param call - Parameters of the call.
 * @returns The result; `Complete` if the answer of the service names this call's path and key.
 */
export async function callService(call: ServiceCallSpec): Promise<CallResult> {
  const startedMs = performance.now();
  const createResult = (end: CallEnd, overrides: Partial<CallResult> = {}): CallResult => ({
    ...emptyResult(startedMs, end),
    ...overrides,
  });
  try {
    const res = await request(`${call.url}/services/${call.service}${call.path}`, {
      method: call.idempotencyKey === undefined ? 'GET' : 'POST',
      dispatcher,
      signal: AbortSignal.timeout(callerTimeoutMs),
      headers: headersOf(call.organisation, call.idempotencyKey, call.timeoutMs),
      body: call.idempotencyKey === undefined ? undefined : (call.body ?? '{}'),
    });
    const body = (await res.body.json()) as Partial<Problem> & { path?: string; key?: string };
    const status = res.statusCode;
    const retryAfter = res.headers['retry-after'] as string | undefined;
    if (status !== 200) {
      return createResult(CallEnd.Problem, {
        run: body.run,
        detail: body.detail,
        status,
        retryAfter,
      });
    }
    const isMatchingAnswer = body.path === call.path && body.key === (call.idempotencyKey ?? '');
    return createResult(isMatchingAnswer ? CallEnd.Complete : CallEnd.Wrong, {
      status,
      run: RunState.Ran,
    });
  } catch (err) {
    return createResult(CallEnd.Broken, { detail: toErrorMessage(err) });
  }
}
