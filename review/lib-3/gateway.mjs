/** Starts gateways with the command of the deploy file, and records what a case does and sees. */
import { spawn } from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const repository = dirname(dirname(dirname(fileURLToPath(import.meta.url))));

export const pause = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Record of a case: what was sent, answered and run. */
export class Record {
  #startedMs = Date.now();

  /** @param path - File to write; replaced if it exists. */
  constructor(path) {
    this.path = path;
    writeFileSync(path, '');
  }

  /** Adds a line with the time since the start. */
  write(text) {
    const atMs = String(Date.now() - this.#startedMs).padStart(6);
    appendFileSync(this.path, `${atMs} ms  ${text}\n`);
  }
}

/** Returns a free TCP port. */
async function freePort() {
  const server = createServer();
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** Command of the gateway, as `run` in the deploy file gives it. */
function deployedCommand() {
  const text = readFileSync(join(repository, 'deploy', 'system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Gateway process with the settings of a small deployment. */
export class Gateway {
  #child;

  #directory = mkdtempSync(join(tmpdir(), 'ibisspar-review-'));

  /**
   * @param storeAddress - Address of the store.
   * @param settings - Settings that differ from the usual ones.
   */
  constructor(storeAddress, settings = {}) {
    this.storeAddress = storeAddress;
    this.settings = settings;
  }

  get pid() {
    return this.#child.pid;
  }

  /** Exit of the process: its code and signal; undefined while it runs. */
  exit;

  get logFile() {
    return join(this.#directory, 'log');
  }

  /** Sets settings to free ports. */
  async usePorts(names) {
    for (const name of names) {
      this.settings[name] = await freePort();
    }
  }

  /** Starts the process, and waits until it says that it is ready. */
  async start() {
    this.callerPort ??= await freePort();
    this.readyPort ??= await freePort();
    const settings = {
      instance: 'front-a-1',
      host: '127.0.0.1',
      place: 'a',
      region: 'r',
      callerAddress: `127.0.0.1:${this.callerPort}`,
      readyAddress: `127.0.0.1:${this.readyPort}`,
      peerPort: 0,
      metricsPort: 0,
      storeAddress: this.storeAddress,
      drainMs: '8s',
      retryRatio: 0.2,
      retryWindowMs: '10s',
      retrySlack: 200,
      isFirstStart: true,
      memoryMb: 350,
      maxDescriptors: 4100,
      ...this.settings,
    };
    const file = join(this.#directory, 'settings.yaml');
    const lines = Object.entries(settings).map(
      ([name, value]) => `${name}: ${JSON.stringify(value)}`,
    );
    writeFileSync(file, `${lines.join('\n')}\n`);
    const log = openSync(this.logFile, 'a');
    const [program, ...args] = deployedCommand();
    this.exit = undefined;
    this.#child = spawn(program, [...args, '--settings', file], {
      cwd: repository,
      stdio: ['ignore', log, log],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG },
    });
    this.#child.once('exit', (code, signal) => {
      this.exit = { code, signal };
    });
    for (let tries = 0; tries < 400 && this.exit === undefined; tries += 1) {
      if ((await this.askReady()) === 200) {
        return;
      }
      await pause(25);
    }
    throw new Error('the gateway did not become ready');
  }

  /** Returns the status of the readiness check; 0 without an answer. */
  async askReady() {
    try {
      const res = await fetch(`http://127.0.0.1:${this.readyPort}/readyz`, {
        signal: AbortSignal.timeout(1_000),
      });
      await res.text();
      return res.status;
    } catch {
      return 0;
    }
  }

  signal(name) {
    this.#child.kill(name);
  }

  /** Returns the last lines of the log. */
  readLog(count) {
    return readFileSync(this.logFile, 'utf8').trimEnd().split('\n').slice(-count);
  }

  /** Returns a figure of the process's status in MB, such as VmRSS; 0 if it has ended. */
  memoryMb(field) {
    try {
      const text = readFileSync(`/proc/${this.pid}/status`, 'utf8');
      return Math.round((Number(new RegExp(`${field}:\\s+(\\d+)`).exec(text)[1]) * 1_024) / 1e6);
    } catch {
      return 0;
    }
  }

  /** Kills the process, waits for its end, and removes its files. */
  async close() {
    if (this.#child !== undefined && this.exit === undefined) {
      this.#child.kill('SIGKILL');
      while (this.exit === undefined) {
        await pause(10);
      }
    }
    rmSync(this.#directory, { recursive: true, force: true });
  }
}

/** Returns a configuration with a lookup and a booking route to one plain service. */
export function plainConfig(version, changes = {}) {
  const route = {
    host: 'review.example',
    timeout_ms: 1_000,
    slo_ms: 193,
    priority: 2,
    service: 'app',
    max_attempts: 1,
    public: false,
  };
  return {
    version,
    routes: [
      { ...route, name: 'look', path_prefix: '/look/', kind: 'safe', max_attempts: 2 },
      { ...route, name: 'book', path_prefix: '/book/', kind: 'unsafe' },
    ],
    services: [
      { name: 'app', health_path: '/healthz', max_conns: 110, protocol: 'h1', tls: false },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'tenant-a', api_keys: ['key-a'], priority: 1 }],
    ...changes,
  };
}
