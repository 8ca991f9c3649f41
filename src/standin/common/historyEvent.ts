/** Kinds of events that the stand-ins record for the history checkers. */
export enum HistoryKind {
  /** An engine ran a step of a sequence over its layers. */
  LayersRun = 'layers-run',
  /** A plain service carried out a call. */
  CallRun = 'call-run',
  /** An engine took or refused an order. */
  Order = 'order',
}

/** One recorded event. */
export interface HistoryEvent {
  readonly kind: HistoryKind;
  readonly atMs: number;
  readonly endpoint: string;
  /** Sequence of an engine, or the idempotency key of a call. */
  readonly subject: string;
  readonly step?: number;
  /** Positions that the step ran. */
  readonly positions?: number;
  readonly from?: number;
  readonly to?: number;
  readonly term?: number;
  readonly accepted?: boolean;
}
