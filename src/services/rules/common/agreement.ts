import { AcceleratorKind } from '../../model/common/model.js';
import { RuleKind, type Rule, type ShareRule } from './rule.js';

/** Terms of one organisation for one model in one data centre. */
export interface Terms {
  readonly weight: number;
  readonly ceiling: number;
  readonly lend: boolean;
  readonly priority: number;
}

/** Terms of an organisation for which no share rule matches. */
export const defaultTerms: Terms = { weight: 1, ceiling: 1, lend: true, priority: 0 };

/** Price of an accelerator without a price rule, in micro-units per 1,000 layer-tokens. */
const defaultPriceMicros = 1_000;

function specificity(rule: ShareRule): number {
  return (rule.model === '*' ? 0 : 2) + (rule.place === '*' ? 0 : 1);
}

/** Rules of one revision, indexed for queries. */
export class Agreement {
  private readonly sharesByOrganisation = new Map<string, ShareRule[]>();

  private readonly microsByAccelerator = new Map<AcceleratorKind, number>();

  private readonly percentByOrganisation = new Map<string, number>();

  /**
   * @param revision - Revision of the rules; 0 if there has been no change yet.
   * @param rules - Rules in file order.
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
   * Returns the terms of an organisation; the most specific matching rule applies.
   *
   * @param organisation - Name of the organisation.
   * @param model - Name of the model.
   * @param dataCentre - Name of the data centre.
   * @returns Terms of the rule that applies, or {@link defaultTerms}.
   */
  termsOf(organisation: string, model: string, dataCentre: string): Terms {
    return this.matchingShareRules(organisation, model, dataCentre)[0] ?? defaultTerms;
  }

  /**
   * Returns the share rules that match; the first of them applies.
   *
   * @param organisation - Name of the organisation.
   * @param model - Name of the model.
   * @param dataCentre - Name of the data centre.
   * @returns Rules from the most to the least specific.
   */
  matchingShareRules(
    organisation: string,
    model: string,
    dataCentre: string,
  ): readonly ShareRule[] {
    const rules = this.sharesByOrganisation.get(organisation) ?? [];
    return rules
      .filter((rule) => rule.model === '*' || rule.model === model)
      .filter((rule) => rule.place === '*' || rule.place === dataCentre)
      .sort((a, b) => specificity(b) - specificity(a));
  }

  /**
   * Returns every rule that names an organisation.
   *
   * @param organisation - Name of the organisation.
   * @returns Share and split rules of the organisation.
   */
  rulesOfOrganisation(organisation: string): readonly Rule[] {
    return this.rules.filter(
      (rule) => rule.kind !== RuleKind.Price && rule.organisation === organisation,
    );
  }

  /**
   * Returns the price of work on a kind of accelerator.
   *
   * @param accelerator - Kind of the accelerator.
   * @returns Price of 1,000 layer-tokens, in micro-units of the partners' currency.
   */
  priceOf(accelerator: AcceleratorKind): number {
    return this.microsByAccelerator.get(accelerator) ?? defaultPriceMicros;
  }

  /**
   * Returns the terms of all organisations that share rules name.
   *
   * @param model - Name of the model.
   * @param dataCentre - Name of the data centre.
   * @returns Terms by name of the organisation.
   */
  allTerms(model: string, dataCentre: string): ReadonlyMap<string, Terms> {
    const organisations = [...this.sharesByOrganisation.keys()];
    return new Map(organisations.map((name) => [name, this.termsOf(name, model, dataCentre)]));
  }

  /** Returns the price of 1,000 layer-tokens for every kind of accelerator. */
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
   * Returns the part of the common running costs that an organisation pays.
   *
   * @param organisation - Name of the organisation.
   * @returns Percentage, or undefined if there is no split rule at all.
   */
  percentOf(organisation: string): number | undefined {
    return this.percentByOrganisation.size === 0
      ? undefined
      : (this.percentByOrganisation.get(organisation) ?? 0);
  }

  private add(rule: Rule): void {
    switch (rule.kind) {
      case RuleKind.Share:
        this.sharesByOrganisation.set(rule.organisation, [
          ...(this.sharesByOrganisation.get(rule.organisation) ?? []),
          rule,
        ]);
        break;
      case RuleKind.Price:
        this.microsByAccelerator.set(rule.accelerator, rule.micros);
        break;
      default:
        this.percentByOrganisation.set(rule.organisation, rule.percent);
    }
  }
}
