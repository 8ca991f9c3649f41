import { Err, Ok, type Result } from 'ts-results-es';
import * as v from 'valibot';
import { AcceleratorKind } from '../../model/common/model.js';
import { RuleKind, type Rule, type RuleFault } from './rule.js';

const nameSchema = v.pipe(
  v.string(),
  v.regex(/^[a-z0-9][a-z0-9.-]*$/, 'must be a lower-case name'),
);
const nameOrAllSchema = v.union([v.literal('*'), nameSchema], 'must be a lower-case name or *');

function numberSchema(min: number, max: number, isMinExcluded = false) {
  return v.pipe(
    v.string(),
    v.regex(/^\d+(\.\d+)?$/, 'must be a number'),
    v.transform(Number),
    v.check((value) => (isMinExcluded ? value > min : value >= min), `must be above ${min}`),
    v.maxValue(max, `must be at most ${max}`),
  );
}

const shareSchema = v.strictObject({
  organisation: nameSchema,
  model: v.optional(nameOrAllSchema, '*'),
  place: v.optional(nameOrAllSchema, '*'),
  weight: numberSchema(0, 1_000_000, true),
  ceiling: v.optional(numberSchema(0, 1, true), '1'),
  lend: v.pipe(
    v.optional(v.picklist(['yes', 'no'], 'must be yes or no'), 'yes'),
    v.transform((value) => value === 'yes'),
  ),
  priority: v.optional(v.pipe(numberSchema(0, 9), v.integer('must be a whole number')), '0'),
});

const priceSchema = v.strictObject({
  accelerator: v.enum(
    AcceleratorKind,
    `must be one of ${Object.values(AcceleratorKind).join(', ')}`,
  ),
  micros: numberSchema(0, 1_000_000_000_000),
});

const splitSchema = v.strictObject({ organisation: nameSchema, percent: numberSchema(0, 100) });

const schemaByKind = {
  [RuleKind.Share]: shareSchema,
  [RuleKind.Price]: priceSchema,
  [RuleKind.Split]: splitSchema,
};

const askedByPattern = /^asked by:?\s+(\S.*)$/i;

class RuleLineError extends Error {}

function parsePairs(words: readonly string[]): Record<string, string> {
  const pairs: Record<string, string> = {};
  for (const word of words) {
    const separatorIndex = word.indexOf('=');
    if (separatorIndex <= 0) {
      throw new RuleLineError(`"${word}" is not of the form name=value`);
    }
    const key = word.slice(0, separatorIndex);
    if (key in pairs) {
      throw new RuleLineError(`${key} is given twice`);
    }
    pairs[key] = word.slice(separatorIndex + 1);
  }
  return pairs;
}

function reasonOf(issue: v.BaseIssue<unknown>): string {
  const path = v.getDotPath(issue) ?? 'line';
  if (issue.type === 'strict_object') {
    return issue.expected === 'never'
      ? `${path} is not a field of this rule`
      : `${path} is missing`;
  }
  return `${path} ${issue.message}`;
}

function parseLine(text: string, line: number): Rule {
  const hashIndex = text.indexOf('#');
  const comment = hashIndex < 0 ? '' : text.slice(hashIndex + 1).trim();
  const askedBy = askedByPattern.exec(comment)?.[1];
  if (askedBy === undefined) {
    throw new RuleLineError('the comment "# asked by PARTNER" is missing');
  }
  const [kindWord, ...words] = text.slice(0, hashIndex).trim().split(/\s+/);
  const kind = Object.values(RuleKind).find((known) => String(known) === kindWord);
  if (kind === undefined) {
    throw new RuleLineError(`"${kindWord}" is not one of ${Object.values(RuleKind).join(', ')}`);
  }
  const parsed = v.safeParse(schemaByKind[kind], parsePairs(words));
  if (!parsed.success) {
    throw new RuleLineError(parsed.issues.map(reasonOf).join('; '));
  }
  return { kind, ...parsed.output, line, askedBy, text } as Rule;
}

/** Describes what a rule sets; two rules with the same description are duplicates. */
function subjectOf(rule: Rule): string {
  switch (rule.kind) {
    case RuleKind.Share:
      return `share of ${rule.organisation} for model ${rule.model} at place ${rule.place}`;
    case RuleKind.Price:
      return `price of ${rule.accelerator}`;
    default:
      return `split of ${rule.organisation}`;
  }
}

function findDuplicates(rules: readonly Rule[]): readonly RuleFault[] {
  const firstLines = new Map<string, number>();
  const faults: RuleFault[] = [];
  for (const rule of rules) {
    const subject = subjectOf(rule);
    const firstLine = firstLines.get(subject);
    if (firstLine !== undefined) {
      const reason = `the ${subject} is already set in line ${firstLine}`;
      faults.push({ line: rule.line, text: rule.text, reason });
    } else {
      firstLines.set(subject, rule.line);
    }
  }
  return faults;
}

/** Maximum deviation of the sum of all splits from 100 percent that is accepted as rounding. */
const splitTolerancePercent = 0.01;

function checkSplits(rules: readonly Rule[]): readonly RuleFault[] {
  const splits = rules.filter((rule) => rule.kind === RuleKind.Split);
  const sum = splits.reduce((total, rule) => total + rule.percent, 0);
  if (splits.length === 0 || Math.abs(sum - 100) <= splitTolerancePercent) {
    return [];
  }
  const last = splits[splits.length - 1];
  const reason = `the split rules add up to ${sum} percent, not to 100`;
  return [{ line: last.line, text: last.text, reason }];
}

/**
 * Parses a rule file. Each line holds one rule and a comment that names the partner that asked for
 * it. Blank lines and lines with only a comment are skipped.
 *
 * @param text - Content of the file.
 * @returns Rules in file order, or all faults with the numbers of their lines.
 */
export function parseRules(text: string): Result<readonly Rule[], readonly RuleFault[]> {
  const rules: Rule[] = [];
  const faults: RuleFault[] = [];
  text.split('\n').forEach((raw, index) => {
    const line = raw.trim();
    if (line === '' || line.startsWith('#')) {
      return;
    }
    try {
      rules.push(parseLine(line, index + 1));
    } catch (err) {
      if (!(err instanceof RuleLineError)) {
        throw err;
      }
      faults.push({ line: index + 1, text: line, reason: err.message });
    }
  });
  faults.push(...findDuplicates(rules));
  if (faults.length === 0) {
    faults.push(...checkSplits(rules));
  }
  return faults.length === 0 ? Ok(rules) : Err(faults);
}
