import type { Scheduler } from 'fast-check';
import { Err, Ok, type Result } from 'ts-results-es';
import { AttemptGate } from '../../../agent/gate/common/attemptGate.js';
import {
  EngineError,
  type EngineOutput,
  type EngineStep,
  type IStageEngine,
} from '../../../agent/stage/common/stageContracts.js';
import { StageRunner } from '../../../agent/stage/common/stageRunner.js';
import { Emitter } from '../../../base/common/event.js';
import type { ILogger } from '../../../base/common/logger.js';
import { SeededRandom } from '../../../base/common/random.js';
import { FakeClock } from '../../../base/test/common/fakeClock.js';
import { ChatAdmission } from '../../../entry/chat/common/chatAdmission.js';
import { ChatRunner } from '../../../entry/chat/common/chatRunner.js';
import type { EndpointView } from '../../../entry/fleet/common/endpointView.js';
import type {
  FleetChange,
  FleetLoss,
  FleetMessage,
  IFleet,
} from '../../../entry/fleet/common/fleet.js';
import { FastestChainRouter } from '../../../entry/routing/common/chainRouter.js';
import { PrefixDirectory } from '../../../entry/routing/common/prefixDirectory.js';
import { CrashSuspects } from '../../../entry/suspects/common/crashSuspects.js';
import { SuspectGuard } from '../../../entry/suspects/common/suspectGuard.js';
import { MessageKind, type LinkMessage } from '../../../services/link/common/messages.js';
import { Agreement } from '../../../services/rules/common/agreement.js';
import { AcceleratorKind, type LayerRange } from '../../../services/model/common/model.js';
import { EngineCore } from '../../../standin/common/engineCore.js';
import { HistoryKind, type HistoryEvent } from '../../../standin/common/historyEvent.js';

const silent: ILogger = { log: () => undefined };

/** Name of the entry in the world. */
export const entryName = 'entry';

/** Text of prompts that kill the endpoint that runs them. */
export const crashPrompt = 'x';

/** Model of the world: layers 0 to 6 in chains of three stages. */
export const worldModel = {
  name: 'm',
  layers: 6,
  layerMiB: 1,
  contextTokens: 1_000,
  version: '1',
};

/** Ordered delivery between two ends; a cut loses what is on its way. */
class Pipe {
  private queue: (() => void)[] = [];

  constructor(
    private readonly scheduler: Scheduler,
    private readonly label: string,
  ) {}

  send(deliver: () => void): void {
    this.queue.push(deliver);
    void this.scheduler.schedule(Promise.resolve(), this.label).then(() => this.queue.shift()?.());
  }

  cut(): void {
    this.queue = [];
  }
}

interface Agent {
  readonly id: string;
  readonly incarnation: string;
  readonly range: LayerRange;
  readonly runner: StageRunner;
  alive: boolean;
}

/** Agents with real stage runners and stand-in engines, and an entry with a real chat runner. */
export class ChainWorld {
  readonly history: HistoryEvent[] = [];

  readonly clock = new FakeClock();

  readonly runner: ChatRunner;

  private readonly agents = new Map<string, Agent>();

  private readonly pipes = new Map<string, Pipe>();

  private readonly received = new Emitter<FleetMessage>();

  private readonly lost = new Emitter<FleetLoss>();

  private readonly restored = new Emitter<FleetChange>();

  private readonly changed = new Emitter<void>();

  constructor(private readonly scheduler: Scheduler) {
    for (const chain of ['a', 'b', 'c']) {
      [0, 2, 4].forEach((from) => this.addAgent(`${chain}${from}`, { from, to: from + 2 }));
    }
    const fleet: IFleet = {
      endpoints: () => this.views(),
      send: (incarnation, message) => this.fromEntry(incarnation, message),
      addActive: () => undefined,
      markFull: () => undefined,
      onDidReceive: this.received.event,
      onDidLose: this.lost.event,
      onDidRestore: this.restored.event,
      onDidChange: this.changed.event,
    };
    const router = new FastestChainRouter(() => 1, new SeededRandom(1));
    const admission = new ChatAdmission(
      { dataCentre: 'p', queueLimit: 100, unservedTimeoutMs: 5_000, fair: true },
      fleet,
      router,
      new PrefixDirectory(),
      () => new Agreement(1, []),
      this.clock,
      silent,
    );
    const limits = {
      stallMs: 3_000,
      engineUnreachableStallMs: 500,
      maxEpochs: 50,
      maxRefusals: 50,
    };
    const options = { entry: entryName, ...limits };
    const suspects = new CrashSuspects(entryName);
    const sharing = { share: (wanted: readonly string[]) => Promise.resolve(wanted) };
    const guard = new SuspectGuard(suspects, sharing, this.clock, this.clock, silent);
    this.runner = new ChatRunner(options, fleet, admission, guard, this.clock, silent);
  }

  /** Names of the agents. */
  get names(): readonly string[] {
    return [...this.agents.keys()];
  }

  /** Number of agents that died. */
  get deaths(): number {
    return [...this.agents.values()].filter((agent) => !agent.alive).length;
  }

  /** Kills an agent with its engine; its peers learn of it later, by a closed link if it `died`. */
  kill(id: string, died: boolean): void {
    const agent = this.agents.get(id);
    if (agent === undefined || !agent.alive) {
      return;
    }
    agent.alive = false;
    this.later(`loss of ${id}`, () => {
      this.agents.forEach((peer) => peer.runner.stageLost(agent.incarnation));
    });
    this.later(`entry learns of ${id}`, () => {
      this.lost.fire({ endpoint: id, incarnation: agent.incarnation, died });
    });
  }

  /** Cuts the links of an agent; they are replaced later. */
  cut(id: string): void {
    const agent = this.agents.get(id);
    if (agent === undefined) {
      return;
    }
    this.pipes.forEach((pipe, name) => {
      if (name.split('>').includes(id)) {
        pipe.cut();
      }
    });
    this.later(`links of ${id} are replaced`, () => {
      if (!agent.alive) {
        return;
      }
      this.restored.fire({ endpoint: id, incarnation: agent.incarnation });
      this.agents.forEach((peer) => {
        peer.runner.stageRestored(agent.incarnation);
        agent.runner.stageRestored(peer.incarnation);
      });
    });
  }

  private isAlive(id: string): boolean {
    return this.agents.get(id)?.alive ?? false;
  }

  private later(label: string, action: () => void): void {
    void this.scheduler.schedule(Promise.resolve(), label).then(action);
  }

  private addAgent(id: string, range: LayerRange): void {
    const incarnation = `${id}-1`;
    const options = {
      endpoint: id,
      incarnation,
      capacity: () => 100,
      accelerator: () => AcceleratorKind.Medium,
      keepMs: 1_000_000,
    };
    const links = {
      toStage: (stage: { endpoint: string }, message: LinkMessage) => {
        if (this.isAlive(id)) {
          this.deliver(id, stage.endpoint, message);
        }
      },
      toEntry: (_entry: string, message: LinkMessage) => {
        if (this.isAlive(id)) {
          const fire = () => this.received.fire({ endpoint: id, incarnation, message });
          this.pipe(id, entryName).send(fire);
        }
      },
    };
    const gate = new AttemptGate({ answerMs: 1_000_000, outcomeMs: 1_000_000 });
    const engine = this.createEngine(id, range);
    const runner = new StageRunner(options, engine, links, gate, this.clock);
    this.agents.set(id, { id, incarnation, range, runner, alive: true });
  }

  private createEngine(id: string, range: LayerRange): IStageEngine {
    const core = new EngineCore(true, 4);
    core.order(1, worldModel.name, range);
    return {
      run: async (step: EngineStep): Promise<Result<EngineOutput, EngineError>> => {
        await this.scheduler.schedule(Promise.resolve(), `engine ${id}`);
        if (step.prompt?.includes(crashPrompt)) {
          this.kill(id, true);
        }
        if (!this.isAlive(id)) {
          return Err(new EngineError('killed'));
        }
        const reply = core.run(step);
        if (reply.error !== undefined) {
          return Err(new EngineError(reply.error));
        }
        const { sequence: subject, step: position } = step;
        this.history.push({
          kind: HistoryKind.LayersRun,
          atMs: this.history.length,
          endpoint: id,
          subject,
          step: position,
          ...range,
        });
        return Ok(reply);
      },
      drop: (sequence) => core.drop(sequence),
    };
  }

  private deliver(from: string, to: string, message: LinkMessage): void {
    this.pipe(from, to).send(() => {
      const agent = this.agents.get(to);
      if (!agent?.alive) {
        return;
      }
      if (message.kind === MessageKind.Start) {
        agent.runner.start(message);
      } else if (message.kind === MessageKind.Step) {
        agent.runner.step(message);
      } else if (message.kind === MessageKind.Resume) {
        agent.runner.resume(message);
      } else if (message.kind === MessageKind.Cancel) {
        agent.runner.cancel(message.attempt, message.epoch, message.relay);
      }
    });
  }

  private fromEntry(incarnation: string, message: LinkMessage): boolean {
    const agent = [...this.agents.values()].find((one) => one.incarnation === incarnation);
    if (agent !== undefined) {
      this.deliver(entryName, agent.id, message);
    }
    return agent?.alive ?? false;
  }

  private pipe(from: string, to: string): Pipe {
    const name = `${from}>${to}`;
    const pipe = this.pipes.get(name) ?? new Pipe(this.scheduler, name);
    this.pipes.set(name, pipe);
    return pipe;
  }

  private views(): readonly EndpointView[] {
    const living = [...this.agents.values()].filter((agent) => agent.alive);
    return living.map(({ id, incarnation, range, alive }) => ({
      id,
      incarnation,
      address: id,
      place: 'p',
      region: 'r',
      connected: alive,
      leaving: false,
      ejected: false,
      ownActive: 0,
      othersActive: 0,
      entries: 1,
      report: {
        model: worldModel.name,
        range,
        service: false,
        accelerator: AcceleratorKind.Medium,
        memoryMiB: 1,
        layerMicros: 1,
        stepMicros: 0,
        active: 0,
        capacity: 100,
        leaving: false,
        answering: alive,
        ready: alive,
        term: 1,
      },
    }));
  }
}
