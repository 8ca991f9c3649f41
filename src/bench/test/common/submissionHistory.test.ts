import { expect } from 'chai';
import fc, { type Scheduler } from 'fast-check';
import { Err, Ok, type Result } from 'ts-results-es';
import { CallRunner, type IPlainService } from '../../../agent/calls/common/callRunner.js';
import { AttemptGate } from '../../../agent/gate/common/attemptGate.js';
import type { ILogger } from '../../../base/common/logger.js';
import { FakeClock } from '../../../base/test/common/fakeClock.js';
import {
  SubmissionFlow,
  RunOutcomeKind,
  type ISubmissionRunner,
  type PreparedRun,
  type RunOutcome,
} from '../../../entry/submission/common/submissionFlow.js';
import type { Claim, ClaimTarget } from '../../../services/claims/common/claim.js';
import { ClaimLedger } from '../../../services/claims/common/claimLedger.js';
import {
  FailureReason,
  MessageKind,
  SealOutcome,
  type CallMessage,
  type LinkMessage,
  type ServiceAnswer,
} from '../../../services/link/common/messages.js';
import { FaultyStore, StoreFault } from '../../../services/objects/test/common/faultyStore.js';
import {
  problem,
  ProblemKind,
  RunState,
  type Problem,
} from '../../../services/problem/common/problem.js';

const silent: ILogger = { log: () => undefined };

const key = '00000001';

const answer: ServiceAnswer = { status: 200, headers: [], body: new Uint8Array() };

/** Gate that forgets what it admitted, to show that the checks notice. */
class ForgetfulGate extends AttemptGate {
  override seal(): SealOutcome {
    return SealOutcome.Sealed;
  }
}

/** Endpoints with real gates behind links that deliver in scheduled order. */
class World {
  /** Times that the service ran the submission. */
  runs = 0;

  readonly clock = new FakeClock();

  private readonly agents = new Map<string, CallRunner>();

  constructor(
    readonly scheduler: Scheduler,
    gateOf: () => AttemptGate,
  ) {
    for (const incarnation of ['a-1', 'b-1']) {
      const service: IPlainService = {
        call: async () => {
          this.runs += 1;
          await scheduler.schedule(Promise.resolve(), 'service works');
          return Ok(answer);
        },
      };
      const options = { incarnation, capacity: 1 };
      this.agents.set(incarnation, new CallRunner(options, service, gateOf(), this.clock));
    }
  }

  kill(incarnation: string): void {
    this.agents.delete(incarnation);
  }

  /** Sends to an agent and waits for its reply of a kind; undefined if the agent is gone. */
  async ask<K extends LinkMessage['kind']>(
    incarnation: string,
    send: (agent: CallRunner, reply: (message: LinkMessage) => void) => void,
    kind: K,
  ): Promise<Extract<LinkMessage, { kind: K }> | undefined> {
    await this.scheduler.schedule(Promise.resolve(), `message to ${incarnation}`);
    const agent = this.agents.get(incarnation);
    if (agent === undefined) {
      return undefined;
    }
    const reply = await new Promise<LinkMessage>((resolve) => {
      send(agent, (message) => {
        if (message.kind === kind) {
          resolve(message);
        }
      });
    });
    await this.scheduler.schedule(Promise.resolve(), `message from ${incarnation}`);
    const isGone = !this.agents.has(incarnation);
    return isGone ? undefined : (reply as Extract<LinkMessage, { kind: K }>);
  }
}

function callMessage(attempt: string, incarnation: string): CallMessage {
  return {
    kind: MessageKind.Call,
    attempt,
    incarnation,
    service: 'booking',
    organisation: 'coop',
    revision: 1,
    method: 'POST',
    path: '/',
    headers: [],
    body: new Uint8Array(),
    submission: true,
    remainingMs: 1_000,
  };
}

class WorldRunner implements ISubmissionRunner<ServiceAnswer, PreparedRun> {
  private turn: number;

  constructor(
    private readonly world: World,
    first: number,
    private readonly refuses: boolean,
  ) {
    this.turn = first;
  }

  prepare(): Promise<Result<PreparedRun, Problem>> {
    if (this.refuses) {
      const refusal = problem(ProblemKind.NoEndpoint, RunState.NotRun, 'no room');
      return Promise.resolve(Err(refusal));
    }
    const endpoint = this.turn % 2 === 0 ? 'a' : 'b';
    this.turn += 1;
    const target = { endpoint, incarnation: `${endpoint}-1` };
    return Promise.resolve(Ok({ target, keeper: target }));
  }

  abandon(): void {
    // Nothing is reserved.
  }

  async run(attempt: string, prepared: PreparedRun): Promise<RunOutcome<ServiceAnswer>> {
    const { incarnation } = prepared.target;
    const result = await this.world.ask(
      incarnation,
      (agent, reply) => agent.call(callMessage(attempt, incarnation), reply),
      MessageKind.CallResult,
    );
    if (result === undefined) {
      return { kind: RunOutcomeKind.Unresolved };
    }
    return result.answer
      ? { kind: RunOutcomeKind.Answered, value: result.answer }
      : { kind: RunOutcomeKind.Refused, reason: result.reason ?? FailureReason.Busy };
  }

  async collect(attempt: string, claim: Claim): Promise<RunOutcome<ServiceAnswer>> {
    const { incarnation } = claim.keeper;
    const result = await this.world.ask(
      incarnation,
      (agent, reply) => agent.seal({ kind: MessageKind.Seal, attempt, incarnation }, reply),
      MessageKind.CallResult,
    );
    return result?.answer
      ? { kind: RunOutcomeKind.Answered, value: result.answer }
      : { kind: RunOutcomeKind.Unresolved };
  }

  async seal(attempt: string, target: ClaimTarget): Promise<SealOutcome | undefined> {
    const { incarnation } = target;
    const result = await this.world.ask(
      incarnation,
      (agent, reply) => agent.seal({ kind: MessageKind.Seal, attempt, incarnation }, reply),
      MessageKind.SealResult,
    );
    return result?.outcome;
  }
}

/** What a caller saw, with the number of runs when it asked and when it was answered. */
interface Seen {
  readonly result: Result<ServiceAnswer, Problem>;
  readonly runsBefore: number;
  readonly runsAfter: number;
}

interface Plan {
  readonly calls: readonly { readonly first: number; readonly refuses: boolean }[];
  readonly faults: readonly StoreFault[];
  readonly kills: readonly string[];
}

const plans = fc.record({
  calls: fc.array(fc.record({ first: fc.nat(1), refuses: fc.boolean() }), {
    minLength: 1,
    maxLength: 4,
  }),
  faults: fc.array(fc.constantFrom(...Object.values(StoreFault)), { maxLength: 30 }),
  kills: fc.subarray(['a-1', 'b-1']),
});

/** Runs calls of one submission through entries of their own and returns what was seen. */
async function play(
  scheduler: Scheduler,
  plan: Plan,
  gateOf: () => AttemptGate,
): Promise<{ readonly seen: readonly Seen[]; readonly runs: number }> {
  const world = new World(scheduler, gateOf);
  const store = new FaultyStore(scheduler, plan.faults);
  const { clock } = world;
  let nonces = 0;
  const nonce = () => {
    nonces += 1;
    return `n${nonces}`;
  };
  const ledgerOptions = { shards: 1, maxInline: 8, retentionMs: 1e9, timeoutMs: 1e9 };
  const identity = { key, request: 'r', id: 'q' };
  const seen = plan.calls.map(async ({ first, refuses }): Promise<Seen> => {
    await scheduler.schedule(Promise.resolve(), 'call begins');
    const runsBefore = world.runs;
    const ledger = new ClaimLedger(ledgerOptions, store, clock);
    const runner = new WorldRunner(world, first, refuses);
    const flow = new SubmissionFlow(identity, ledger, runner, nonce, clock, clock, silent);
    const result = await flow.run();
    return { result, runsBefore, runsAfter: world.runs };
  });
  plan.kills.forEach((incarnation) => {
    void scheduler
      .schedule(Promise.resolve(), `kill ${incarnation}`)
      .then(() => world.kill(incarnation));
  });
  const all = Promise.all(seen);
  let finished = false;
  void all.then(() => {
    finished = true;
  });
  while (!finished) {
    if (scheduler.count() > 0) {
      await scheduler.waitOne();
    } else {
      clock.advance(100); // lets the grace of a young claim pass
      await Promise.resolve();
    }
  }
  return { seen: await all, runs: world.runs };
}

/** Returns what is wrong with a history, or undefined. */
function faultOf(history: { seen: readonly Seen[]; runs: number }): string | undefined {
  if (history.runs > 1) {
    return `ran ${history.runs} times`;
  }
  for (const { result, runsBefore, runsAfter } of history.seen) {
    const run = result.isOk() ? RunState.Ran : result.error.run;
    if (run === RunState.NotRun && runsBefore > 0) {
      return 'not-run was said after it had run';
    }
    if (run === RunState.Ran && runsAfter === 0) {
      return 'ran was said before it had run';
    }
  }
  return undefined;
}

describe('submissions from concurrent entries', () => {
  it('run at most once, and are called not-run only if they did not run', async () => {
    await fc.assert(
      fc.asyncProperty(fc.scheduler(), plans, async (scheduler, plan) => {
        const gateOf = () => new AttemptGate({ answerMs: 1e9, outcomeMs: 1e9 });
        expect(faultOf(await play(scheduler, plan, gateOf))).to.equal(undefined);
      }),
      { seed: 31, numRuns: 4_000 },
    );
  });

  it('are seen to run twice when the gate forgets what it admitted', async () => {
    const details = await fc.check(
      fc.asyncProperty(fc.scheduler(), plans, async (scheduler, plan) => {
        const gateOf = () => new ForgetfulGate({ answerMs: 1e9, outcomeMs: 1e9 });
        return faultOf(await play(scheduler, plan, gateOf)) === undefined;
      }),
      { seed: 31, numRuns: 4_000 },
    );
    expect(details.failed).to.equal(true);
  });
});
