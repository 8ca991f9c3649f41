import type { IClock, ITimers } from '../../../base/common/clock.js';
import type { ILogger } from '../../../base/common/logger.js';
import type { EndpointHealth } from '../../../services/ejection/common/endpointHealth.js';
import type { EndpointSender } from '../../../services/exchange/node/endpointSender.js';
import type { RefusalStreaks } from '../../directory/common/refusalStreaks.js';
import type { EndpointDirectory } from '../../directory/common/endpointDirectory.js';
import type { RetryBudget } from '../../retries/common/retryBudget.js';
import type { ReservationLedger } from '../../routing/common/reservationLedger.js';
import type { ConfiguredRanks } from '../../scheduling/common/requestRank.js';
import type { EndpointSignals } from '../../signals/common/endpointSignals.js';
import type { AnswerOrder } from '../common/answerOrder.js';
import type { IDialect } from '../common/dialect.js';
import type { RunSupervisor } from '../../suspects/common/runSupervisor.js';
import type { GatewayMetrics } from '../../node/gatewayMetrics.js';

/** Dependencies that all relays of a gateway share. */
export interface RelayContext {
  readonly clock: IClock & ITimers;
  readonly logger: ILogger;
  readonly metrics: GatewayMetrics;
  readonly dialect: IDialect;
  readonly sender: EndpointSender;
  readonly directory: EndpointDirectory;
  readonly ledger: ReservationLedger;
  readonly signals: EndpointSignals;
  /** Ranks of requests to model services. */
  readonly ranks: ConfiguredRanks;
  readonly supervisor: RunSupervisor;
  /** Records the outcomes of streams at the first endpoints of their paths. */
  readonly engineHealth: EndpointHealth;
  /** Tells endpoints that reject all streams from those that are short of capacity. */
  readonly refusalStreaks: RefusalStreaks;
  /** Shows which streams an endpoint has passed over. */
  readonly answerOrder: AnswerOrder;
  /** Maximum size of an answer that is not an event stream, in bytes. */
  readonly maxAnswerBytes: number;
  /** Returns the retry budget of a service. */
  readonly retryBudgetOf: (service: string) => RetryBudget;
}
