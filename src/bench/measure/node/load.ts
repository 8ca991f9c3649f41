import { performance } from 'node:perf_hooks';
import { CallEnd } from '../../faults/common/records.js';
import { chat, type CallResult } from '../../node/caller.js';
import type { Fleet, FleetModel } from '../../node/fleet.js';
import { quantile, round } from '../common/statistics.js';

/** Closed-loop load of streamed chats: each caller waits for its answer before its next call. */
export interface LoadSpec {
  readonly callers: number;
  readonly durationMs: number;
  readonly maxTokens: number;
  readonly organisation: string;
  /** Indices of the entries that the callers use. */
  readonly entries: readonly number[];
  /** Length of the prompts, in characters. */
  readonly promptLength: number;
}

/** Throughput and latencies of a load. */
export interface LoadResult {
  readonly calls: number;
  readonly notWhole: number;
  readonly tokensPerSecond: number;
  readonly callsPerSecond: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
  readonly gapP50Ms: number;
  readonly gapP95Ms: number;
}

/**
 * Runs a load on the entries that it names.
 *
 * @param fleet - The system under test.
 * @param model - Model of the chats.
 * @param spec - Parameters of the load.
 * @param onResult - Called with the result of each call.
 * @returns Throughput and latencies.
 */
export async function runLoad(
  fleet: Fleet,
  model: FleetModel,
  spec: LoadSpec,
  onResult: (result: CallResult) => void = () => undefined,
): Promise<LoadResult> {
  const startedMs = performance.now();
  const results: CallResult[] = [];
  let callCount = 0;
  const runCaller = async (index: number) => {
    while (performance.now() - startedMs < spec.durationMs) {
      callCount += 1;
      const result = await chat({
        url: fleet.url(spec.entries[index % spec.entries.length]),
        organisation: spec.organisation,
        model: model.name,
        layers: model.layers,
        content: `${spec.organisation} ${callCount} `.padEnd(spec.promptLength, 'x'.repeat(7)),
        maxTokens: spec.maxTokens,
      });
      results.push(result);
      onResult(result);
    }
  };
  await Promise.all(Array.from({ length: spec.callers }, (_unused, index) => runCaller(index)));
  return summarize(results, performance.now() - startedMs);
}

function summarize(results: readonly CallResult[], elapsedMs: number): LoadResult {
  const completeCalls = results.filter((result) => result.end === CallEnd.Complete);
  const firstTokenTimes = completeCalls.map((result) => result.firstTokenMs ?? 0);
  const gaps = completeCalls.flatMap((result) => result.gapsMs);
  const tokens = completeCalls.reduce((sum, result) => sum + result.tokens, 0);
  return {
    calls: results.length,
    notWhole: results.length - completeCalls.length,
    tokensPerSecond: round((tokens / elapsedMs) * 1_000, 1),
    callsPerSecond: round((results.length / elapsedMs) * 1_000, 1),
    firstTokenP50Ms: round(quantile(firstTokenTimes, 0.5), 1),
    firstTokenP95Ms: round(quantile(firstTokenTimes, 0.95), 1),
    gapP50Ms: round(quantile(gaps, 0.5), 1),
    gapP95Ms: round(quantile(gaps, 0.95), 1),
  };
}
