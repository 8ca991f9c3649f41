import { Err, Ok, type Result } from 'ts-results-es';
import type { Claim, ClaimTarget } from '../../../services/claims/common/claim.js';
import type { SealOutcome } from '../../../services/link/common/messages.js';
import {
  problem,
  ProblemKind,
  RunState,
  type Problem,
} from '../../../services/problem/common/problem.js';
import type { AnswerSummary } from '../../chat/common/answerAssembler.js';
import type { QueuedRequest, ChatAdmission } from '../../chat/common/chatAdmission.js';
import type { ChatRequest, IChatSink } from '../../chat/common/chatRequest.js';
import type { ChatRunner } from '../../chat/common/chatRunner.js';
import type { Route } from '../../routing/common/chainRouter.js';
import type { SuspectGuard } from '../../../services/suspects/common/suspectGuard.js';
import type { ServiceCaller } from '../../services/common/serviceCaller.js';
import {
  RunOutcomeKind,
  type ISubmissionRunner,
  type PreparedRun,
  type RunOutcome,
} from './submissionFlow.js';

/** Chain chosen for a chat submission. */
export interface PreparedChain extends PreparedRun {
  readonly route: Route;
}

/** Runs the attempts of a chat submission and passes its tokens on as they arrive. */
export class ChatSubmission implements ISubmissionRunner<AnswerSummary, PreparedChain> {
  /**
   * @param request - The submission.
   * @param onToken - Receives each token's text.
   * @param admission - Assigns chains.
   * @param runner - Runs attempts and fetches answers.
   * @param serviceCaller - Seals attempts at the gates of endpoints.
   * @param guard - Tells whether a request is quarantined because it crashed endpoints.
   */
  constructor(
    private readonly request: ChatRequest,
    private readonly onToken: (text: string) => void,
    private readonly admission: ChatAdmission,
    private readonly runner: ChatRunner,
    private readonly serviceCaller: ServiceCaller,
    private readonly guard: SuspectGuard,
  ) {}

  prepare(): Promise<Result<PreparedChain, Problem>> {
    if (this.guard.isQuarantined(this.request.fingerprint)) {
      const detail = 'endpoints died while they ran this request; it is not run again';
      return Promise.resolve(Err(problem(ProblemKind.Quarantined, RunState.NotRun, detail)));
    }
    return new Promise((resolve) => {
      const queued: QueuedRequest = {
        request: this.request,
        avoidedEndpoints: () => new Set(),
        onAdmitted: (route) => resolve(Ok(preparedChain(route))),
        onRefused: (refusal) => resolve(Err(refusal)),
      };
      this.admission.enqueue(queued);
    });
  }

  releasePrepared(chain: PreparedChain): void {
    this.admission.release(this.request, chain.route);
  }

  run(attempt: string, chain: PreparedChain): Promise<RunOutcome<AnswerSummary>> {
    return new Promise((resolve) => {
      this.runner.startClaimed(
        this.request,
        attempt,
        chain.route,
        this.sinkOf(resolve),
        (_run, reason) => resolve({ kind: RunOutcomeKind.Refused, reason }),
      );
    });
  }

  fetchAnswer(
    attempt: string,
    claim: Claim,
    sealOutcome: SealOutcome,
  ): Promise<RunOutcome<AnswerSummary>> {
    return new Promise((resolve) => {
      this.runner.fetchAnswer(
        this.request,
        attempt,
        claim.keeper,
        sealOutcome,
        this.sinkOf(resolve),
      );
    });
  }

  seal(attempt: string, target: ClaimTarget): Promise<SealOutcome | undefined> {
    return this.serviceCaller.seal(attempt, target);
  }

  private sinkOf(resolve: (outcome: RunOutcome<AnswerSummary>) => void): IChatSink {
    return {
      token: this.onToken,
      end: (value) => resolve({ kind: RunOutcomeKind.Answered, value }),
      fail: (failure) => resolve({ kind: RunOutcomeKind.Failed, problem: failure }),
    };
  }
}

function preparedChain(route: Route): PreparedChain {
  const [first] = route.chain;
  const last = route.chain[route.chain.length - 1];
  return {
    route,
    target: { endpoint: first.endpoint, incarnation: first.incarnation },
    keeper: { endpoint: last.endpoint, incarnation: last.incarnation },
  };
}
