import { AcceleratorKind } from '../../model/common/model.js';

/** Kinds of rules; the value is the first word of a rule line. */
export enum RuleKind {
  Share = 'share',
  Price = 'price',
  Split = 'split',
}

interface RuleOrigin {
  /** Number of the line in the rule file, counted from 1. */
  readonly line: number;
  /** Partner that asked for the rule, as named in the comment of the line. */
  readonly askedBy: string;
  /** The line as written. */
  readonly text: string;
}

/** An organisation's share of a model's capacity. */
export interface ShareRule extends RuleOrigin {
  readonly kind: RuleKind.Share;
  readonly organisation: string;
  /** Model that the rule applies to; `*` for all models. */
  readonly model: string;
  /** Data centre that the rule applies to; `*` for all data centres. */
  readonly place: string;
  /** Weight of the share relative to the shares of the other organisations. */
  readonly weight: number;
  /** Maximum share of the capacity, above 0 and up to 1. */
  readonly ceiling: number;
  /** Whether other organisations may use the part of the share that is idle. */
  readonly lend: boolean;
  /** Priority of the requests at engines, from 0 (lowest) to 9 (highest). */
  readonly priority: number;
}

/** Price of work on one kind of accelerator. */
export interface PriceRule extends RuleOrigin {
  readonly kind: RuleKind.Price;
  readonly accelerator: AcceleratorKind;
  /** Price of 1,000 layer-tokens, in micro-units of the partners' currency. */
  readonly micros: number;
}

/** Part of the common running costs that an organisation pays. */
export interface SplitRule extends RuleOrigin {
  readonly kind: RuleKind.Split;
  readonly organisation: string;
  readonly percent: number;
}

/** One rule of the rule file. */
export type Rule = ShareRule | PriceRule | SplitRule;

/** Rule line that is rejected, with the reason. */
export interface RuleFault {
  readonly line: number;
  readonly text: string;
  readonly reason: string;
}
