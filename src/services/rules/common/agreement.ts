import { AcceleratorKind } from '../../model/common/model.js';
import { RuleKind, type Rule, type ShareRule } from './rule.js';

/** Terms of one organisation for one model at one place. */
export interface Terms {
  readonly weight: number;
  readonly ceiling: number;
  readonly lend: boolean;
  readonly priority: number;
}

/** Terms of organisations that no rule names. */
export const defaultTerms: Terms = { weight: 1, ceiling: 1, lend: true, priority: 0 };

/** Price where no rule sets one, in micro-units for 1,000 layer-tokens. */
const defaultMicros = 1_000;

function specificity(rule: ShareRule): number {
  return (rule.model === '*' ? 0 : 2) + (rule.place === '*' ? 0 : 1);
}

/** The rules of one revision, arranged for look-ups. */
export class Agreement {
  private readonly shares = new Map<string, ShareRule[]>();

  private readonly priceByKind = new Map<AcceleratorKind, number>();

  private readonly splits = new Map<string, number>();

  /**
   * @param revision - Revision of the rules; 0 before the first.
   * @param rules - The rules.
   */
  constructor(
    readonly revision: number,
    readonly rules: readonly Rule[],
  ) {
    for (const rule of rules) {
      this.add(rule);
    }
  }

  /**
   * Returns the terms of an organisation; the most specific rule decides.
   *
   * @param organisation - Name of the organisation.
   * @param model - Name of the model.
   * @param place - Name of the place.
   * @returns Its terms.
   */
  termsOf(organisation: string, model: string, place: string): Terms {
    return this.decidingRules(organisation, model, place)[0] ?? defaultTerms;
  }

  /**
   * Lists the share rules that match, the deciding one first.
   *
   * @param organisation - Name of the organisation.
   * @param model - Name of the model.
   * @param place - Name of the place.
   * @returns The rules, from the most specific to the least.
   */
  decidingRules(organisation: string, model: string, place: string): readonly ShareRule[] {
    const rules = this.shares.get(organisation) ?? [];
    return rules
      .filter((rule) => rule.model === '*' || rule.model === model)
      .filter((rule) => rule.place === '*' || rule.place === place)
      .sort((a, b) => specificity(b) - specificity(a));
  }

  /**
   * Lists every rule that names an organisation.
   *
   * @param organisation - Name of the organisation.
   * @returns Its share and split rules.
   */
  rulesNaming(organisation: string): readonly Rule[] {
    return this.rules.filter(
      (rule) => rule.kind !== RuleKind.Price && rule.organisation === organisation,
    );
  }

  /**
   * Returns the price of work.
   *
   * @param accelerator - Kind of the accelerator.
   * @returns Micro-units for 1,000 layer-tokens.
   */
  priceOf(accelerator: AcceleratorKind): number {
    return this.priceByKind.get(accelerator) ?? defaultMicros;
  }

  /**
   * Lists the organisations that share rules name, with their terms.
   *
   * @param model - Name of the model.
   * @param place - Name of the place.
   * @returns Terms by organisation.
   */
  allTerms(model: string, place: string): ReadonlyMap<string, Terms> {
    const names = [...this.shares.keys()];
    return new Map(names.map((name) => [name, this.termsOf(name, model, place)]));
  }

  /** Returns the prices of all kinds of accelerators. */
  prices(): Readonly<Record<AcceleratorKind, number>> {
    return {
      [AcceleratorKind.Large]: this.priceOf(AcceleratorKind.Large),
      [AcceleratorKind.Medium]: this.priceOf(AcceleratorKind.Medium),
      [AcceleratorKind.Small]: this.priceOf(AcceleratorKind.Small),
      [AcceleratorKind.Edge]: this.priceOf(AcceleratorKind.Edge),
      [AcceleratorKind.Legacy]: this.priceOf(AcceleratorKind.Legacy),
    };
  }

  /**
   * Returns the part of the common costs that an organisation bears.
   *
   * @param organisation - Name of the organisation.
   * @returns Percent, or undefined if no rule splits the costs.
   */
  percentOf(organisation: string): number | undefined {
    return this.splits.size === 0 ? undefined : (this.splits.get(organisation) ?? 0);
  }

  private add(rule: Rule): void {
    switch (rule.kind) {
      case RuleKind.Share:
        this.shares.set(rule.organisation, [...(this.shares.get(rule.organisation) ?? []), rule]);
        break;
      case RuleKind.Price:
        this.priceByKind.set(rule.accelerator, rule.micros);
        break;
      default:
        this.splits.set(rule.organisation, rule.percent);
    }
  }
}
