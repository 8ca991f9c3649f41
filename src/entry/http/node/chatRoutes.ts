import { randomUUID } from 'node:crypto';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { sha256Hex } from '../../../base/common/digest.js';
import {
  problem,
  ProblemKind,
  RunState,
  type Problem,
} from '../../../services/problem/common/problem.js';
import type { AnswerSummary } from '../../chat/common/answerAssembler.js';
import type { ChatRequest } from '../../chat/common/chatRequest.js';
import type { ChatRunner } from '../../chat/common/chatRunner.js';
import type { ModelRecord } from '../../placement/node/placer.js';
import { admitBeforeBody } from './admissionHook.js';
import type { ChatSubmissionStarter, RequestGuard } from './requestGuard.js';
import { sendProblem } from './problemReply.js';

interface ChatBody {
  readonly model: string;
  readonly messages: readonly { readonly role: string; readonly content: string }[];
  readonly stream?: boolean;
  readonly max_tokens?: number;
}

const chatSchema = {
  type: 'object',
  required: ['model', 'messages'],
  properties: {
    model: { type: 'string', minLength: 1, maxLength: 128 },
    messages: {
      type: 'array',
      minItems: 1,
      maxItems: 1_000,
      items: {
        type: 'object',
        required: ['role', 'content'],
        properties: {
          role: { type: 'string', enum: ['system', 'user', 'assistant'] },
          content: { type: 'string', minLength: 1 },
        },
      },
    },
    stream: { type: 'boolean' },
    max_tokens: { type: 'integer', minimum: 1 },
  },
};

const defaultMaxTokens = 256;

/** Maximum number of bytes buffered for a slow caller; its connection is closed beyond that. */
const maxCallerBacklogBytes = 4 * 1_048_576;

/** Dependencies of the chat routes. */
export interface ChatRouteDependencies {
  readonly guard: RequestGuard;
  readonly runner: ChatRunner;
  readonly model: (name: string) => ModelRecord | undefined;
  readonly models: () => readonly ModelRecord[];
  readonly startSubmission: ChatSubmissionStarter;
}

function toPrompt(body: ChatBody): string {
  return body.messages.map((message) => `${message.role}: ${message.content}`).join('\n');
}

/** Writes an answer to the caller, either as an event stream or as one JSON body. */
class AnswerWriter {
  private text = '';

  private hasStarted = false;

  constructor(
    private readonly reply: FastifyReply,
    private readonly request: ChatRequest,
    private readonly isStreamed: boolean,
    private readonly onSlowCaller: () => void,
  ) {}

  token(text: string): void {
    if (!this.isStreamed) {
      this.text += text;
      return;
    }
    this.startStream();
    this.writeEvent(this.createChunk({ content: text }, null));
    if (this.reply.raw.writableLength > maxCallerBacklogBytes) {
      this.reply.raw.destroy();
      this.onSlowCaller();
    }
  }

  end(summary: AnswerSummary): void {
    const usage = { completion_tokens: summary.tokens };
    const check = { tokens: summary.tokens, sha256: summary.digest };
    if (this.isStreamed) {
      this.startStream();
      this.writeEvent({ ...this.createChunk({}, 'stop'), usage, ibisspar: check });
      this.reply.raw.end('data: [DONE]\n\n');
      return;
    }
    void this.reply.send({
      id: this.request.id,
      object: 'chat.completion',
      model: this.request.model.name,
      choices: [
        { index: 0, message: { role: 'assistant', content: this.text }, finish_reason: 'stop' },
      ],
      usage,
      ibisspar: check,
    });
  }

  fail(details: Problem): void {
    if (!this.hasStarted) {
      sendProblem(this.reply, details);
      return;
    }
    this.reply.raw.end(`event: error\ndata: ${JSON.stringify(details)}\n\n`);
  }

  private startStream(): void {
    if (this.hasStarted) {
      return;
    }
    this.hasStarted = true;
    this.reply.hijack();
    this.reply.raw.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      'x-request-id': this.request.id,
    });
  }

  private createChunk(delta: { readonly content?: string }, finishReason: string | null) {
    return {
      id: this.request.id,
      object: 'chat.completion.chunk',
      model: this.request.model.name,
      choices: [{ index: 0, delta, finish_reason: finishReason }],
    };
  }

  private writeEvent(data: unknown): void {
    this.reply.raw.write(`data: ${JSON.stringify(data)}\n\n`);
  }
}

/**
 * Adds the chat routes.
 *
 * @param app - The HTTP server.
 * @param dependencies - Data and actions that the routes use.
 */
export function addChatRoutes(app: FastifyInstance, dependencies: ChatRouteDependencies): void {
  app.get('/v1/models', (req, reply) => {
    const admitted = dependencies.guard.admit(req);
    if (admitted.isErr()) {
      return sendProblem(reply, admitted.error);
    }
    const data = dependencies.models().map((model) => ({ id: model.name, object: 'model' }));
    return reply.send({ object: 'list', data });
  });
  app.post<{ Body: ChatBody }>(
    '/v1/chat/completions',
    { schema: { body: chatSchema }, onRequest: admitBeforeBody(dependencies.guard) },
    (req, reply) => handleChat(dependencies, req, reply),
  );
}

function handleChat(
  dependencies: ChatRouteDependencies,
  req: FastifyRequest<{ Body: ChatBody }>,
  reply: FastifyReply,
): void {
  const admitted = dependencies.guard.admit(req);
  if (admitted.isErr()) {
    sendProblem(reply, admitted.error);
    return;
  }
  const model = dependencies.model(req.body.model);
  if (model === undefined) {
    const detail = `model ${req.body.model} does not exist`;
    const errors = [{ field: 'model', reason: detail }];
    sendProblem(reply, problem(ProblemKind.NotFound, RunState.NotRun, detail, { errors }));
    return;
  }
  const prompt = toPrompt(req.body);
  const maxTokens = req.body.max_tokens ?? defaultMaxTokens;
  if (prompt.length + maxTokens > model.contextTokens) {
    const detail = `prompt and max_tokens exceed the context of ${model.contextTokens} tokens`;
    const errors = [{ field: 'max_tokens', reason: detail }];
    sendProblem(reply, problem(ProblemKind.InvalidRequest, RunState.NotRun, detail, { errors }));
    return;
  }
  const { organisation, terms, revision, prices, deadlineMs, idempotencyKey } = admitted.value;
  const request: ChatRequest = {
    id: randomUUID(),
    organisation,
    model,
    prompt,
    maxTokens,
    priority: terms(model.name).priority,
    revision,
    prices,
    fingerprint: sha256Hex(`${model.name}\n${prompt}`),
    deadlineMs,
  };
  reply.header('x-request-id', request.id);
  startAnswer(dependencies, request, reply, req.body, idempotencyKey);
}

function startAnswer(
  dependencies: ChatRouteDependencies,
  request: ChatRequest,
  reply: FastifyReply,
  body: ChatBody,
  idempotencyKey: string | undefined,
): void {
  let cancel: () => void = () => undefined;
  const writer = new AnswerWriter(reply, request, body.stream ?? false, () => cancel());
  if (idempotencyKey !== undefined) {
    const requestDigest = sha256Hex(
      `${request.model.name}\n${request.maxTokens}\n${request.prompt}`,
    );
    const onToken = (text: string) => writer.token(text);
    void dependencies
      .startSubmission(request, idempotencyKey, requestDigest, onToken)
      .then((result) => {
        if (result.isOk()) {
          writer.end(result.value);
        } else {
          writer.fail(result.error);
        }
      });
    return;
  }
  const handle = dependencies.runner.startLookup(request, writer);
  cancel = () => handle.cancel();
  reply.raw.on('close', cancel);
}
