import { checkBystanders } from './bystanderCheckers.js';
import { FaultKind, type SoakHistory } from './records.js';

/** Checks that no request of a crowd ran that was refused with a status that says that it has not run. */
export function checkCrowdRefusals({ crowds, runs }: SoakHistory): readonly string[] {
  const ranIds = new Set(runs.map(({ id }) => id));
  return crowds.flatMap(({ gateway, notRunIds }) =>
    notRunIds
      .filter((id) => ranIds.has(id))
      .map((id) => `${id} at ${gateway}: refused as not run, but it ran`),
  );
}

/** Checks that a gateway serves its other callers beside a crowd, unless another fault keeps it from it. */
export function checkServedBesideCrowds(history: SoakHistory): readonly string[] {
  const gateways = [...new Set(history.crowds.map(({ gateway }) => gateway))];
  return gateways.flatMap((gateway) => {
    const crowds = history.crowds.filter((crowd) => crowd.gateway === gateway);
    const bystanders = history.calls.filter(
      (call) =>
        call.gateway === gateway &&
        crowds.some(({ startMs, endMs }) => call.startMs >= startMs && call.startMs <= endMs),
    );
    return checkBystanders(history, bystanders, FaultKind.CallerCrowd);
  });
}
