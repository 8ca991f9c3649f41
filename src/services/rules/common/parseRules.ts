import { Err, Ok, type Result } from 'ts-results-es';
import * as v from 'valibot';
import { AcceleratorKind } from '../../model/common/model.js';
import { RuleKind, type Rule, type RuleFault } from './rule.js';

const name = v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9.-]*$/, 'must be a lower-case name'));
const nameOrAll = v.union([v.literal('*'), name], 'must be a lower-case name or *');

function numberIn(from: number, to: number, exclusiveFrom = false) {
  return v.pipe(
    v.string(),
    v.regex(/^\d+(\.\d+)?$/, 'must be a number'),
    v.transform(Number),
    v.check((value) => (exclusiveFrom ? value > from : value >= from), `must be above ${from}`),
    v.maxValue(to, `must be at most ${to}`),
  );
}

const shareFields = v.strictObject({
  organisation: name,
  model: v.optional(nameOrAll, '*'),
  place: v.optional(nameOrAll, '*'),
  weight: numberIn(0, 1_000_000, true),
  ceiling: v.optional(numberIn(0, 1, true), '1'),
  lend: v.pipe(
    v.optional(v.picklist(['yes', 'no'], 'must be yes or no'), 'yes'),
    v.transform((value) => value === 'yes'),
  ),
  priority: v.optional(v.pipe(numberIn(0, 9), v.integer('must be a whole number')), '0'),
});

const priceFields = v.strictObject({
  accelerator: v.enum(
    AcceleratorKind,
    `must be one of ${Object.values(AcceleratorKind).join(', ')}`,
  ),
  micros: numberIn(0, 1_000_000_000_000),
});

const splitFields = v.strictObject({ organisation: name, percent: numberIn(0, 100) });

const fieldsOf = {
  [RuleKind.Share]: shareFields,
  [RuleKind.Price]: priceFields,
  [RuleKind.Split]: splitFields,
};

const askedByPattern = /^asked by:?\s+(\S.*)$/i;

class LineError extends Error {}

function readPairs(words: readonly string[]): Record<string, string> {
  const pairs: Record<string, string> = {};
  for (const word of words) {
    const at = word.indexOf('=');
    if (at <= 0) {
      throw new LineError(`"${word}" is not of the form name=value`);
    }
    const key = word.slice(0, at);
    if (key in pairs) {
      throw new LineError(`${key} is given twice`);
    }
    pairs[key] = word.slice(at + 1);
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
  const hash = text.indexOf('#');
  const comment = hash < 0 ? '' : text.slice(hash + 1).trim();
  const askedBy = askedByPattern.exec(comment)?.[1];
  if (askedBy === undefined) {
    throw new LineError('the comment "# asked by PARTNER" is missing');
  }
  const [kindWord, ...words] = text.slice(0, hash).trim().split(/\s+/);
  const kind = Object.values(RuleKind).find((known) => String(known) === kindWord);
  if (kind === undefined) {
    throw new LineError(`"${kindWord}" is not one of ${Object.values(RuleKind).join(', ')}`);
  }
  const parsed = v.safeParse(fieldsOf[kind], readPairs(words));
  if (!parsed.success) {
    throw new LineError(parsed.issues.map(reasonOf).join('; '));
  }
  return { kind, ...parsed.output, line, askedBy, text } as Rule;
}

/** Identifies what a rule decides, so that two rules for the same thing are found. */
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

function findRepeated(rules: readonly Rule[]): readonly RuleFault[] {
  const firstLines = new Map<string, number>();
  const faults: RuleFault[] = [];
  for (const rule of rules) {
    const subject = subjectOf(rule);
    const first = firstLines.get(subject);
    if (first !== undefined) {
      const reason = `the ${subject} is already set in line ${first}`;
      faults.push({ line: rule.line, text: rule.text, reason });
    } else {
      firstLines.set(subject, rule.line);
    }
  }
  return faults;
}

/** Largest error of a sum of percentages that counts as rounding. */
const percentTolerance = 0.01;

function checkSplits(rules: readonly Rule[]): readonly RuleFault[] {
  const splits = rules.filter((rule) => rule.kind === RuleKind.Split);
  const sum = splits.reduce((total, rule) => total + rule.percent, 0);
  if (splits.length === 0 || Math.abs(sum - 100) <= percentTolerance) {
    return [];
  }
  const last = splits[splits.length - 1];
  const reason = `the split rules add up to ${sum} percent, not to 100`;
  return [{ line: last.line, text: last.text, reason }];
}

/**
 * Parses a rule file: one rule in each line, with a comment that names who asked for it. Blank
 * lines and lines that hold only a comment are skipped.
 *
 * @param text - Content of the file.
 * @returns The rules in file order, or every fault with its line.
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
      if (!(err instanceof LineError)) {
        throw err;
      }
      faults.push({ line: index + 1, text: line, reason: err.message });
    }
  });
  faults.push(...findRepeated(rules));
  if (faults.length === 0) {
    faults.push(...checkSplits(rules));
  }
  return faults.length === 0 ? Ok(rules) : Err(faults);
}
