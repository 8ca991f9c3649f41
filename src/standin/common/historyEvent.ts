/** Kinds of events that the stand-ins record for the history checks. */
export enum HistoryKind {
  /** An engine ran a step of a sequence over its layers. */
  LayersRun = 'layers-run',
  /** A plain service executed a call. */
  CallRun = 'call-run',
  /** An engine accepted or refused an order. */
  Order = 'order',
}

/** Recorded event, written as one JSON line. */
export interface HistoryEvent {
  readonly kind: HistoryKind;
  readonly atMs: number;
  readonly endpoint: string;
  /** Sequence of an engine step, idempotency key of a call, or model of an order. */
  readonly subject: string;
  readonly step?: number;
  /** Number of token positions that the step processed. */
  readonly positions?: number;
  readonly from?: number;
  readonly to?: number;
  readonly term?: number;
  readonly accepted?: boolean;
}
