import * as v from 'valibot';
import { maxTimerMs } from './clock.js';

const maxPort = 65_535;

/*
 * Schemas of values that come from another process. Their bounds let every value that passes be added,
 * multiplied and counted with, without loss of precision.
 */

/** Count of anything, or a time in Unix milliseconds. */
export const wholeNumberSchema = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Amount that need not be whole. */
export const amountSchema = v.pipe(v.number(), v.minValue(0), v.maxValue(Number.MAX_SAFE_INTEGER));

/** Count that its sender may state as a fraction; rounded down. */
export const roundedCountSchema = v.pipe(amountSchema, v.transform(Math.floor));

/** Amount by which others are divided. */
export const divisorSchema = v.pipe(
  v.number(),
  v.minValue(Number.EPSILON),
  v.maxValue(Number.MAX_SAFE_INTEGER),
);

/** Duration in milliseconds. One that no timer can take stands for the longest that a timer can. */
export const durationMsSchema = v.pipe(
  amountSchema,
  v.transform((durationMs) => Math.min(durationMs, maxTimerMs)),
);

export const textSchema = v.pipe(v.string(), v.minLength(1));

/** Port at which a peer or an endpoint listens. */
export const portSchema = v.pipe(wholeNumberSchema, v.minValue(1), v.maxValue(maxPort));

const hostSchema = v.pipe(v.string(), v.ipv4());

/** Address as `IPv4:PORT`. */
export const addressSchema = v.pipe(
  v.string(),
  v.check((value) => {
    const [host, port, ...rest] = value.split(':');
    const isPort = /^\d+$/.test(port ?? '') && v.is(portSchema, Number(port));
    return rest.length === 0 && v.is(hostSchema, host) && isPort;
  }, 'Invalid address: expected IPv4:PORT'),
);

/**
 * Describes what is wrong with a value.
 *
 * @param issues - Issues of a failed validation.
 * @returns The path and the reason of each issue.
 */
export function describeIssues(issues: readonly v.BaseIssue<unknown>[]): string {
  return issues.map((issue) => `${v.getDotPath(issue) ?? '(root)'}: ${issue.message}`).join('; ');
}
