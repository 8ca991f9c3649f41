import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { problem, ProblemKind, RunState } from '../../../services/problem/common/problem.js';
import {
  RulesConflictError,
  RulesInvalidError,
  type RuleFile,
  type RuleStore,
} from '../../../services/rules/common/ruleStore.js';
import type { EndpointView } from '../../fleet/common/endpointView.js';
import { bearerKey, hashKey } from '../common/callerDirectory.js';
import type { DecisionLog } from '../common/decisionLog.js';
import { openApiDocument } from './openApi.js';
import { sendProblem } from './problemReply.js';

/** State of an entry, as reported to operators. */
export interface EntryStatus {
  readonly instance: string;
  readonly incarnation: string;
  readonly place: string;
  readonly draining: boolean;
  readonly ready: boolean;
  readonly revision: number;
  readonly lowestRevision: number | undefined;
  readonly activeChats: number;
  readonly activeCalls: number;
  readonly waiting: number;
  readonly leaseTerm: number | undefined;
}

/** Dependencies of the administration routes. */
export interface AdminRouteDependencies {
  readonly keyHashes: ReadonlySet<string>;
  readonly status: () => EntryStatus;
  readonly endpoints: () => readonly EndpointView[];
  readonly rules: () => RuleFile;
  readonly ruleStore: RuleStore;
  readonly refreshRules: () => Promise<boolean>;
  readonly decisionLog: DecisionLog;
  readonly dataCentre: string;
  readonly costs: (fromMs: number, toMs: number) => Promise<unknown>;
}

interface RuleEditBody {
  readonly id: string;
  readonly baseRevision: number;
  readonly text: string;
  readonly by: string;
}

const ruleEditSchema = {
  type: 'object',
  required: ['id', 'baseRevision', 'text', 'by'],
  additionalProperties: false,
  properties: {
    id: { type: 'string', minLength: 8, maxLength: 64 },
    baseRevision: { type: 'integer', minimum: 0 },
    text: { type: 'string' },
    by: { type: 'string', minLength: 1, maxLength: 128 },
  },
};

/** Maximum body size of an administration request, in bytes. */
const adminBodyBytes = 32 * 1_048_576;

/**
 * Adds the administration routes.
 *
 * @param app - The HTTP server.
 * @param dependencies - Data and actions that the routes use.
 */
export function addAdminRoutes(app: FastifyInstance, dependencies: AdminRouteDependencies): void {
  app.get('/admin/v1/openapi.json', (_req, reply) => reply.send(openApiDocument));
  void app.register((scope, _options, done) => {
    scope.addHook('onRequest', async (req, reply) => {
      const key = bearerKey(req.headers.authorization);
      if (key === undefined || !dependencies.keyHashes.has(hashKey(key))) {
        const detail = 'the administration key is missing or unknown';
        return sendProblem(reply, problem(ProblemKind.Unauthorized, RunState.NotRun, detail));
      }
      return undefined;
    });
    addReadRoutes(scope, dependencies);
    addRuleRoutes(scope, dependencies);
    done();
  });
}

function addReadRoutes(app: FastifyInstance, dependencies: AdminRouteDependencies): void {
  app.get('/admin/v1/status', (_req, reply) => reply.send(dependencies.status()));
  app.get('/admin/v1/endpoints', (_req, reply) =>
    reply.send({ endpoints: dependencies.endpoints() }),
  );
  app.get<{ Params: { request: string } }>('/admin/v1/explain/:request', (req, reply) =>
    reply.send({ decisions: dependencies.decisionLog.explain(req.params.request) }),
  );
  app.get<{ Querystring: { from?: string; to?: string } }>(
    '/admin/v1/costs',
    async (req, reply) => {
      const fromMs = Date.parse(req.query.from ?? '1970-01-01');
      const toMs = req.query.to === undefined ? Date.now() : Date.parse(req.query.to);
      if (Number.isNaN(fromMs) || Number.isNaN(toMs)) {
        const detail = 'from and to must be dates such as 2026-01-31T00:00:00Z';
        return sendProblem(reply, problem(ProblemKind.InvalidRequest, RunState.NotRun, detail));
      }
      return reply.send(await dependencies.costs(fromMs, toMs));
    },
  );
}

function addRuleRoutes(app: FastifyInstance, dependencies: AdminRouteDependencies): void {
  app.get('/admin/v1/rules', (_req, reply) => {
    const { revision, text, changes } = dependencies.rules();
    const { lowestRevision } = dependencies.status();
    return reply.send({ revision, text, changes, lowestRevision });
  });
  app.get<{ Params: { organisation: string }; Querystring: { model?: string; place?: string } }>(
    '/admin/v1/rules/why/:organisation',
    (req, reply) => {
      const { agreement, revision } = dependencies.rules();
      const { organisation } = req.params;
      const { model = '*', place: dataCentre = dependencies.dataCentre } = req.query;
      const deciding = agreement.matchingShareRules(organisation, model, dataCentre);
      const terms = agreement.termsOf(organisation, model, dataCentre);
      const named = agreement.rulesOfOrganisation(organisation);
      return reply.send({ revision, organisation, terms, deciding, named });
    },
  );
  app.put<{ Body: RuleEditBody }>(
    '/admin/v1/rules',
    { schema: { body: ruleEditSchema }, bodyLimit: adminBodyBytes },
    (req, reply) => applyRules(dependencies, req, reply),
  );
}

async function applyRules(
  dependencies: AdminRouteDependencies,
  req: FastifyRequest<{ Body: RuleEditBody }>,
  reply: FastifyReply,
): Promise<FastifyReply> {
  const applied = await dependencies.ruleStore.apply({ ...req.body, atMs: Date.now() });
  if (applied.isOk()) {
    void dependencies.refreshRules();
    return reply.send({ revision: applied.value });
  }
  const err = applied.error;
  if (err instanceof RulesInvalidError) {
    const details = problem(ProblemKind.InvalidRequest, RunState.NotRun, err.message);
    return sendProblem(reply, { ...details, status: 422, ...{ faults: err.faults } });
  }
  if (err instanceof RulesConflictError) {
    const { revision, text, by } = err;
    const details = problem(ProblemKind.Conflict, RunState.NotRun, err.message);
    return sendProblem(reply, { ...details, ...{ revision, text, by } });
  }
  // The change may have been stored. A retry with the same id does not apply it twice.
  const options = { retryAfterSeconds: 1 };
  const details = problem(ProblemKind.PlatformUnavailable, RunState.Unknown, err.message, options);
  return sendProblem(reply, details);
}
