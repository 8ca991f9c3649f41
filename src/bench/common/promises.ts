import { HistoryKind, type HistoryEvent } from '../../standin/common/historyEvent.js';

/** Runs of a service by idempotency key. */
export function runsByKey(history: readonly HistoryEvent[]): ReadonlyMap<string, number> {
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
export function ranTwice(history: readonly HistoryEvent[]): readonly string[] {
  return [...runsByKey(history)].filter(([, runs]) => runs > 1).map(([key]) => key);
}

/** A fault of a sequence's layers. */
export interface LayerFault {
  readonly sequence: string;
  readonly reason: string;
}

function checkSequence(
  sequence: string,
  events: readonly HistoryEvent[],
  layers: number,
): LayerFault | undefined {
  const first = Math.min(...events.map((event) => event.step ?? 0));
  const last = Math.max(...events.map((event) => event.step ?? 0));
  let previousRanges = '';
  for (let step = first; step <= last; step += 1) {
    const at = step;
    const ofStep = events.filter((event) => event.step === at);
    let next = 0;
    for (const event of ofStep) {
      if (event.from !== next) {
        const reason = `step ${step}: layer ${next} expected, ${event.from}-${event.to} ran`;
        return { sequence, reason };
      }
      next = event.to ?? next;
    }
    if (step < last && next !== layers) {
      return { sequence, reason: `step ${step}: layers from ${next} did not run before the next` };
    }
    const ranges = ofStep.map((event) => `${event.endpoint}:${event.from}-${event.to}`).join(',');
    if (step < last && previousRanges !== '' && ranges !== previousRanges) {
      return { sequence, reason: `step ${step} ran on other stages than the step before` };
    }
    previousRanges = ranges;
  }
  return undefined;
}

/**
 * Checks that in each epoch of each attempt every layer ran once for each token, in order.
 *
 * @param history - Events of the engines, in the order in which they were recorded.
 * @param layers - Number of layers of the model.
 * @returns The sequences that break the promise, and how many were checked.
 */
export function checkLayers(
  history: readonly HistoryEvent[],
  layers: number,
): { readonly checked: number; readonly faults: readonly LayerFault[] } {
  const bySequence = new Map<string, HistoryEvent[]>();
  for (const event of history) {
    if (event.kind === HistoryKind.LayersRun) {
      const events = bySequence.get(event.subject) ?? [];
      bySequence.set(event.subject, events);
      events.push(event);
    }
  }
  const faults = [...bySequence].flatMap(([sequence, events]) => {
    const fault = checkSequence(sequence, events, layers);
    return fault ? [fault] : [];
  });
  return { checked: bySequence.size, faults };
}
