import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';

/** Time that a process may take to start, in milliseconds. */
const startTimeoutMs = 20_000;

/** Keeps the young generation of the heap, and with it the resident memory, small. */
const nodeFlags = ['--max-semi-space-size=1'];

/** Directory of the bundled programs, next to the running bundle. */
const bundleDirectory = fileURLToPath(new URL('.', import.meta.url));

/** A running program of the system or a stand-in. */
export class RunningProcess {
  private hasExited = false;

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
      this.hasExited = true;
    });
  }

  /** Process id. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** True until the process exited. */
  get running(): boolean {
    return !this.hasExited;
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
    return this.hasExited
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

  private readonly processes = new Set<RunningProcess>();

  private startCount = 0;

  /** @param programDirectory - Directory of the bundled programs. */
  constructor(private readonly programDirectory = bundleDirectory) {}

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
    this.startCount += 1;
    const log = createWriteStream(join(this.directory, `${name}-${this.startCount}.log`));
    const child = spawn(
      process.execPath,
      [...nodeFlags, join(this.programDirectory, script), ...args],
      {
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    return new Promise((resolve, reject) => {
      let output = '';
      const rejectStart = () => reject(new Error(`${name} did not start: ${output}`));
      const timer = setTimeout(rejectStart, startTimeoutMs);
      child.once('exit', rejectStart);
      child.stderr.on('data', (data: Buffer) => {
        output += data.toString();
      });
      const onData = (data: Buffer) => {
        output += data.toString();
        const match = ready.exec(output);
        if (match) {
          clearTimeout(timer);
          child.stdout.off('data', onData);
          child.off('exit', rejectStart);
          const running = new RunningProcess(name, child, match[1]);
          this.processes.add(running);
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
    const running = [...this.processes].filter((child) => child.running);
    running.forEach((child) => {
      child.signal('SIGKILL');
      child.signal('SIGCONT');
    });
    await Promise.all(running.map((child) => child.ended()));
  }
}
