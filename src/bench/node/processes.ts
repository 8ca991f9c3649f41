import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';

/** Time that a process may take to start, in milliseconds. */
const startLimitMs = 20_000;

/** Keeps the young generation of the heap, and with it the resident memory, small. */
const nodeFlags = ['--max-semi-space-size=1'];

/** Directory of the bundled programs, next to the running bundle. */
const ownDirectory = fileURLToPath(new URL('.', import.meta.url));

/** A running program of the system or a stand-in. */
export class RunningProcess {
  private exited = false;

  /**
   * @param name - Name for reports.
   * @param child - The operating system's process.
   * @param started - First line that tells where it listens.
   */
  constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    readonly started: string,
  ) {
    child.once('exit', () => {
      this.exited = true;
    });
  }

  /** Process id. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** True until the process exited. */
  get running(): boolean {
    return !this.exited;
  }

  /** Exit status; undefined while it runs or if a signal ended it. */
  get status(): number | undefined {
    return this.child.exitCode ?? undefined;
  }

  /** Sends a signal to the process. */
  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Waits for the exit of the process. */
  ended(): Promise<void> {
    return this.exited
      ? Promise.resolve()
      : new Promise((resolve) => {
          this.child.once('exit', () => resolve());
        });
  }
}

/** Starts programs and ends them all at the close. */
export class ProcessGroup {
  /** Directory for settings, logs and histories of this run. */
  readonly directory = mkdtempSync(join(tmpdir(), 'ibisspar-'));

  private readonly all = new Set<RunningProcess>();

  private count = 0;

  /** @param programs - Directory of the bundled programs. */
  constructor(private readonly programs = ownDirectory) {}

  /**
   * Starts a program and waits until it says that it listens.
   *
   * @param name - Name for reports and log files.
   * @param program - For example `entry`.
   * @param args - Arguments.
   * @param ready - Matches the line that says where it listens; its first group is kept.
   * @returns The running process.
   */
  start(
    name: string,
    program: string,
    args: readonly string[],
    ready: RegExp,
  ): Promise<RunningProcess> {
    return this.startScript(`ibisspar-${program}.mjs`, args, ready, name);
  }

  /**
   * Starts a script of the directory and waits until it says that it listens.
   *
   * @param script - File of the script.
   * @param args - Arguments.
   * @param ready - Matches the line that says where it listens; its first group is kept.
   * @param name - Name for reports and log files.
   * @returns The running process.
   */
  startScript(
    script: string,
    args: readonly string[],
    ready: RegExp,
    name = script,
  ): Promise<RunningProcess> {
    this.count += 1;
    const log = createWriteStream(join(this.directory, `${name}-${this.count}.log`));
    const child = spawn(process.execPath, [...nodeFlags, join(this.programs, script), ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    return new Promise((resolve, reject) => {
      let output = '';
      const fail = () => reject(new Error(`${name} did not start: ${output}`));
      const limit = setTimeout(fail, startLimitMs);
      child.once('exit', fail);
      child.stderr.on('data', (data: Buffer) => {
        output += data.toString();
      });
      const onData = (data: Buffer) => {
        output += data.toString();
        const match = ready.exec(output);
        if (match) {
          clearTimeout(limit);
          child.stdout.off('data', onData);
          child.off('exit', fail);
          const running = new RunningProcess(name, child, match[1]);
          this.all.add(running);
          resolve(running);
        }
      };
      child.stdout.on('data', onData);
    });
  }

  /**
   * Writes a settings file.
   *
   * @param name - Name of the program's instance.
   * @param settings - The settings.
   * @returns Path of the file.
   */
  writeSettings(name: string, settings: unknown): string {
    const path = join(this.directory, `${name}.yaml`);
    writeFileSync(path, stringify(settings));
    return path;
  }

  /** Kills whatever still runs. */
  async close(): Promise<void> {
    const running = [...this.all].filter((one) => one.running);
    running.forEach((one) => {
      one.signal('SIGKILL');
      one.signal('SIGCONT');
    });
    await Promise.all(running.map((one) => one.ended()));
  }
}
