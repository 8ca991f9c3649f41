import type { IClock, ITimers } from '../../../base/common/clock.js';
import type { ILogger } from '../../../base/common/logger.js';
import type { IMetrics } from '../../../base/node/metrics.js';
import type { AnswerSettings } from '../common/answerBounds.js';
import { createAnswerIntake, type AnswerIntake } from './answerIntake.js';

/**
 * Creates the intake of answers of a program that sends its metrics as datagrams.
 *
 * @param settings - Limits of the machine, and bounds that the operator sets explicitly.
 * @param metrics - Counts answers that were given up, as `answer-cuts` by reason.
 * @param clock - Source of time and of timers.
 * @param logger - Receives a line for each answer that was given up, limited in number.
 * @returns The intake; to be closed by the program.
 */
export function createProgramAnswerIntake(
  settings: AnswerSettings,
  metrics: IMetrics,
  clock: IClock & ITimers,
  logger: ILogger,
): AnswerIntake {
  const countCut = (reason: string) => metrics.increment('answer-cuts', { reason });
  return createAnswerIntake(settings, countCut, clock, logger);
}

/**
 * Sends what answers make a program hold as gauges `answer-use`, one for each kind.
 *
 * @param intake - Intake of the program.
 * @param metrics - Receives the gauges.
 */
export function reportAnswers(intake: AnswerIntake, metrics: IMetrics): void {
  Object.entries(intake.use).forEach(([kind, value]) =>
    metrics.gauge('answer-use', Number(value), { kind }),
  );
}
