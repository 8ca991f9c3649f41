import { readFileSync } from 'node:fs';

/** Processor time and memory of a process. */
export interface ProcessUsage {
  /** Processor time since its start, in milliseconds. */
  readonly cpuMs: number;
  readonly residentMiB: number;
}

/** Length of the kernel's clock ticks, in milliseconds. */
const tickMs = 10;

const pageBytes = 4_096;

/**
 * Reads what a process has used.
 *
 * @param pid - Its id.
 * @returns Processor time and resident memory.
 */
export function readUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
  return { cpuMs: ticks * tickMs, residentMiB: (pages * pageBytes) / 1_048_576 };
}
