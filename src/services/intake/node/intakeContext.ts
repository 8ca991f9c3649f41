import type { IClock, ITimers } from '../../../base/common/clock.js';
import type { LogFields } from '../../../base/common/logger.js';
import type { BodyAccount } from '../common/bodyAccount.js';
import type { BlockPool } from '../common/bodyBuffer.js';
import type { IntakeCut } from '../common/intakeCut.js';
import type { PiecePacer } from '../common/piecePacer.js';
import type { CallerConnection, HoldCounts } from './callerConnection.js';
import type { IntakeRequest } from './intakeRequest.js';

/** Objects that the requests of all connections share. */
export interface IntakeContext {
  readonly account: BodyAccount;
  readonly pool: BlockPool;
  readonly pacer: PiecePacer;
  readonly holdCounts: HoldCounts;
  /** Connections that aren't read, for each reason, at most. */
  readonly maxHeld: number;
  readonly clock: IClock & ITimers;
  /** Refused requests whose bodies haven't ended. */
  readonly discarding: Set<IntakeRequest>;
  /** Records that a body has made progress or is complete. */
  recordProgress(connection: CallerConnection): void;
  /** Counts and logs a cut or a refusal. */
  recordCut(reason: IntakeCut, connection: CallerConnection, fields?: LogFields): void;
  /** Closes a connection. */
  cut(connection: CallerConnection, reason: IntakeCut, fields?: LogFields): void;
}
