import { AcceleratorKind } from '../../model/common/model.js';

/** Kinds of rules. */
export enum RuleKind {
  Share = 'share',
  Price = 'price',
  Split = 'split',
}

interface RuleOrigin {
  /** Line of the file, counted from 1. */
  readonly line: number;
  /** Partner that asked for the rule, from the line's comment. */
  readonly askedBy: string;
  /** The line as written. */
  readonly text: string;
}

/** An organisation's share of a model's capacity. */
export interface ShareRule extends RuleOrigin {
  readonly kind: RuleKind.Share;
  readonly organisation: string;
  /** Model that it holds for; `*` for all. */
  readonly model: string;
  /** Place that it holds for; `*` for all. */
  readonly place: string;
  /** Weight relative to the other organisations. */
  readonly weight: number;
  /** Largest share of the capacity, from 0 to 1. */
  readonly ceiling: number;
  /** Whether others may use what the organisation leaves idle. */
  readonly lend: boolean;
  /** Priority at engines, from 0 (lowest) to 9. */
  readonly priority: number;
}

/** Price of work on one kind of accelerator. */
export interface PriceRule extends RuleOrigin {
  readonly kind: RuleKind.Price;
  readonly accelerator: AcceleratorKind;
  /** Price of 1,000 layer-tokens, in micro-units of the partners' currency. */
  readonly micros: number;
}

/** Part of the common running costs that an organisation bears. */
export interface SplitRule extends RuleOrigin {
  readonly kind: RuleKind.Split;
  readonly organisation: string;
  readonly percent: number;
}

/** One rule of the rule file. */
export type Rule = ShareRule | PriceRule | SplitRule;

/** Why a line of the rule file is refused. */
export interface RuleFault {
  readonly line: number;
  readonly text: string;
  readonly reason: string;
}
