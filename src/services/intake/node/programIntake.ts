import { getHeapStatistics } from 'node:v8';
import type { IClock, ITimers } from '../../../base/common/clock.js';
import type { ILogger } from '../../../base/common/logger.js';
import type { IMetrics } from '../../../base/node/metrics.js';
import { deriveBounds, type IntakeSettings } from '../common/intakeBounds.js';
import { CallerIntake } from './callerIntake.js';

/**
 * Creates the intake of a program that sends its metrics as datagrams.
 *
 * @param settings - Limits of the machine, and bounds that the operator sets explicitly.
 * @param metrics - Counts callers that were cut or refused, as `caller-cuts` by reason.
 * @param clock - Source of time and of timers.
 * @param logger - Receives a line for each cut or refusal, limited in number.
 * @returns The intake; to be closed by the program.
 */
export function createProgramIntake(
  settings: IntakeSettings,
  metrics: IMetrics,
  clock: IClock & ITimers,
  logger: ILogger,
): CallerIntake {
  return new CallerIntake(
    deriveBounds(settings, getHeapStatistics().heap_size_limit),
    (reason) => metrics.increment('caller-cuts', { reason }),
    clock,
    logger,
  );
}

/**
 * Sends what callers make a program hold as gauges `caller-use`, one for each kind.
 *
 * @param intake - Intake of the program.
 * @param metrics - Receives the gauges.
 */
export function reportIntake(intake: CallerIntake, metrics: IMetrics): void {
  Object.entries(intake.use).forEach(([kind, value]) =>
    metrics.gauge('caller-use', Number(value), { kind }),
  );
}
