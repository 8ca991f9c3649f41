import { HistoryKind, type HistoryEvent } from '../../standin/common/historyEvent.js';

/**
 * Counts how often plain services ran each submission.
 *
 * @param history - Events of the stand-ins.
 * @returns Numbers of runs by idempotency key.
 */
export function countRunsByKey(history: readonly HistoryEvent[]): ReadonlyMap<string, number> {
  const runs = new Map<string, number>();
  for (const event of history) {
    if (event.kind === HistoryKind.CallRun) {
      runs.set(event.subject, (runs.get(event.subject) ?? 0) + 1);
    }
  }
  return runs;
}

/**
 * Finds submissions that ran more than once.
 *
 * @param history - Events of the stand-ins.
 * @returns Their idempotency keys.
 */
export function findRepeatedSubmissions(history: readonly HistoryEvent[]): readonly string[] {
  return [...countRunsByKey(history)].filter(([, runs]) => runs > 1).map(([key]) => key);
}

/** A sequence whose layers did not run once for each token, in order. */
export interface LayerViolation {
  readonly sequence: string;
  readonly reason: string;
}

/**
 * Returns the first violation in a sequence. Its last step may be incomplete, because the request
 * may have ended or moved to another chain during that step.
 */
function checkSequence(
  sequence: string,
  events: readonly HistoryEvent[],
  layers: number,
): LayerViolation | undefined {
  const firstStep = Math.min(...events.map((event) => event.step ?? 0));
  const lastStep = Math.max(...events.map((event) => event.step ?? 0));
  let previousStages = '';
  for (let step = firstStep; step <= lastStep; step += 1) {
    const currentStep = step;
    const stepEvents = events.filter((event) => event.step === currentStep);
    let nextLayer = 0;
    for (const event of stepEvents) {
      if (event.from !== nextLayer) {
        const reason = `step ${step}: expected layer ${nextLayer}, but layers ${event.from}-${event.to} ran`;
        return { sequence, reason };
      }
      nextLayer = event.to ?? nextLayer;
    }
    if (step < lastStep && nextLayer !== layers) {
      return {
        sequence,
        reason: `step ${step}: layers from ${nextLayer} did not run before the next step`,
      };
    }
    const stages = stepEvents
      .map((event) => `${event.endpoint}:${event.from}-${event.to}`)
      .join(',');
    if (step < lastStep && previousStages !== '' && stages !== previousStages) {
      return { sequence, reason: `step ${step} ran on other stages than the previous step` };
    }
    previousStages = stages;
  }
  return undefined;
}

/**
 * Checks that in each epoch of each attempt every layer ran once for each token, in order.
 *
 * @param history - Events of the engines, in the order in which they were recorded.
 * @param layers - Number of layers of the model.
 * @returns The sequences with a violation, and the number of sequences checked.
 */
export function checkLayers(
  history: readonly HistoryEvent[],
  layers: number,
): { readonly checked: number; readonly violations: readonly LayerViolation[] } {
  const bySequence = new Map<string, HistoryEvent[]>();
  for (const event of history) {
    if (event.kind === HistoryKind.LayersRun) {
      const events = bySequence.get(event.subject) ?? [];
      bySequence.set(event.subject, events);
      events.push(event);
    }
  }
  const violations = [...bySequence].flatMap(([sequence, events]) => {
    const violation = checkSequence(sequence, events, layers);
    return violation ? [violation] : [];
  });
  return { checked: bySequence.size, violations };
}
