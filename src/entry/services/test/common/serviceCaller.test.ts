import { expect } from 'chai';
import { Emitter } from '../../../../base/common/event.js';
import { SeededRandom } from '../../../../base/common/random.js';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import {
  FailureReason,
  MessageKind,
  type CallMessage,
  type CallResultMessage,
  type LinkMessage,
} from '../../../../services/link/common/messages.js';
import { RunState } from '../../../../services/problem/common/problem.js';
import type { EndpointView } from '../../../fleet/common/endpointView.js';
import type { AgentIncarnation, FleetLoss, FleetMessage } from '../../../fleet/common/fleet.js';
import { ServiceCaller, type ServiceRequest } from '../../common/serviceCaller.js';

const service = 'work';

/** Answers each call to an endpoint with the next of its results. */
class ScriptedFleet {
  private readonly received = new Emitter<FleetMessage>();

  readonly onDidReceive = this.received.event;

  readonly onDidLose = new Emitter<FleetLoss>().event;

  readonly onDidRestore = new Emitter<AgentIncarnation>().event;

  readonly onDidChange = new Emitter<void>().event;

  constructor(private readonly results: Record<string, Partial<CallResultMessage>>) {}

  endpoints(): readonly EndpointView[] {
    return Object.keys(this.results).map(
      (id) =>
        ({
          id,
          incarnation: id,
          connected: true,
          report: { model: service, service: true, ready: true, capacity: 4 },
          ownActive: 0,
          othersActive: 0,
        }) as unknown as EndpointView,
    );
  }

  send(incarnation: string, message: LinkMessage): boolean {
    const { attempt } = message as CallMessage;
    const result = { kind: MessageKind.CallResult, attempt, ...this.results[incarnation] };
    queueMicrotask(() =>
      this.received.fire({
        endpoint: incarnation,
        incarnation,
        message: result as CallResultMessage,
      }),
    );
    return true;
  }

  addActive(): void {}

  markFull(): void {}
}

function lookUp(results: Record<string, Partial<CallResultMessage>>) {
  const clock = new FakeClock();
  const fleet = new ScriptedFleet(results);
  const logger = { log: () => undefined };
  const caller = new ServiceCaller(fleet, clock, clock, new SeededRandom(1), logger);
  const request = { id: 'r', service, deadlineMs: 10_000, body: new Uint8Array() };
  return caller.lookup(request as unknown as ServiceRequest);
}

const answered = (status: number): Partial<CallResultMessage> => ({
  answer: { status, headers: [], body: new Uint8Array() },
  run: RunState.Ran,
});

describe('ServiceCaller', () => {
  // Guards against callers that get an answer with a status that is none from an agent of another version.
  it('passes on no answer whose status is none', async () => {
    for (const status of [100, 101, 199, 600, 999]) {
      const outcome = await lookUp({ 'agent-1': answered(status) });
      expect(outcome.isErr(), String(status)).to.equal(true);
    }
    expect((await lookUp({ 'agent-1': answered(404) })).unwrap().status).to.equal(404);
  });

  const refused: Partial<CallResultMessage> = {
    run: RunState.NotRun,
    reason: FailureReason.Leaving,
  };
  const failed: Partial<CallResultMessage> = { run: RunState.Unknown };

  const agents = (...results: Partial<CallResultMessage>[]) =>
    Object.fromEntries(results.map((result, index) => [`agent-${index}`, result]));

  // Guards against a lookup that is answered as if it might have run although every agent refused it.
  it('says that a lookup has not run if all endpoints that it tried refused it', async () => {
    for (const count of [0, 1, 2, 4, 6]) {
      const outcome = await lookUp(agents(...Array.from({ length: count }, () => refused)));
      const { status, run } = outcome.unwrapErr();
      expect({ status, run }, String(count)).to.deep.equal({
        status: 503,
        run: RunState.NotRun,
      });
    }
  });

  it('says that it is unknown once one of them may have run it', async () => {
    for (const results of [[failed], [failed, refused], [refused, failed, refused]]) {
      const outcome = await lookUp(agents(...results));
      expect(outcome.unwrapErr().run).to.equal(RunState.Unknown);
    }
  });
});
