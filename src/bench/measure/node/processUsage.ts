import { readFileSync } from 'node:fs';

/** Processor time and resident memory of a process. */
export interface ProcessUsage {
  /** User and system time since the start of the process, in milliseconds. */
  readonly cpuMs: number;
  readonly residentMiB: number;
}

/** Length of a clock tick of the Linux kernel, in milliseconds. */
const tickMs = 10;

const pageBytes = 4_096;

/**
 * Reads the processor time and memory of a process from `/proc`.
 *
 * @param pid - Process id.
 * @returns Processor time and resident memory.
 */
export function readUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
  return { cpuMs: ticks * tickMs, residentMiB: (pages * pageBytes) / 1_048_576 };
}
