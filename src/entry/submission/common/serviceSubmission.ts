import { Err, Ok, type Result } from 'ts-results-es';
import type { Claim, ClaimTarget } from '../../../services/claims/common/claim.js';
import type { SealOutcome, ServiceAnswer } from '../../../services/link/common/messages.js';
import { RunState, type Problem } from '../../../services/problem/common/problem.js';
import type { EndpointView } from '../../fleet/common/endpointView.js';
import type { ServiceCaller, ServiceRequest } from '../../services/common/serviceCaller.js';
import type { ISubmissionRunner, PreparedRun, RunOutcome } from './submissionFlow.js';

/** Endpoint chosen for a plain-service submission. */
export interface PreparedCall extends PreparedRun {
  readonly view: EndpointView;
}

/** Runs the attempts of a plain-service submission. */
export class ServiceSubmission implements ISubmissionRunner<ServiceAnswer, PreparedCall> {
  private readonly tried = new Set<string>();

  /**
   * @param request - The call to submit.
   * @param serviceCaller - Calls services.
   */
  constructor(
    private readonly request: ServiceRequest,
    private readonly serviceCaller: ServiceCaller,
  ) {}

  prepare(): Promise<Result<PreparedCall, Problem>> {
    const view = this.serviceCaller.choose(this.request, this.tried);
    if (view === undefined) {
      return Promise.resolve(
        Err(this.serviceCaller.noEndpointProblem(this.request, RunState.NotRun)),
      );
    }
    this.tried.add(view.id);
    const target = { endpoint: view.id, incarnation: view.incarnation };
    return Promise.resolve(Ok({ view, target, keeper: target }));
  }

  releasePrepared(): void {
    this.tried.clear();
  }

  run(attempt: string, prepared: PreparedCall): Promise<RunOutcome<ServiceAnswer>> {
    return this.serviceCaller.dispatch(this.request, attempt, prepared.view, true);
  }

  fetchAnswer(attempt: string, claim: Claim): Promise<RunOutcome<ServiceAnswer>> {
    return this.serviceCaller.fetchAnswer(attempt, claim.keeper, this.request.deadlineMs);
  }

  seal(attempt: string, target: ClaimTarget): Promise<SealOutcome | undefined> {
    return this.serviceCaller.seal(attempt, target);
  }
}
