import { cac } from 'cac';
import { CrowdKind, CrowdTarget, type CrowdPlan } from '../../platform/test/crowdPlan.js';
import { CrowdProcess } from '../../platform/test/crowdProcess.js';
import {
  deployedLimits,
  GatewayProcess,
  readMemoryMb,
} from '../../platform/test/gatewayProcess.js';
import { defaultKey } from '../../platform/test/gatewayFleet.js';
import { toErrorMessage } from '../../src/base/common/errors.js';

/** What is held, and how many of it; each stays below the bounds of the smallest machine. */
interface HeldKind {
  readonly name: string;
  readonly plan: Omit<CrowdPlan, 'count'>;
  readonly counts: readonly number[];
  /** Size that the bodies announce, in bytes. */
  readonly bodyBytes: number;
}

/** Small enough that the gateway reads all of them at the same time. */
const smallBodyBytes = 16_384;

const largeBodyBytes = 1_048_576;

const target = CrowdTarget.Plain;

const heldKinds: readonly HeldKind[] = [
  {
    name: 'connection that was never used',
    plan: { kind: CrowdKind.SilentConnections, target },
    counts: [0, 400, 800, 1_200],
    bodyBytes: 0,
  },
  {
    name: 'connection that is idle after a request',
    plan: { kind: CrowdKind.IdleAfterRequest, target },
    counts: [0, 200, 400, 600],
    bodyBytes: 0,
  },
  {
    name: 'request whose body has not begun',
    plan: { kind: CrowdKind.UnsentBodies, target },
    counts: [0, 200, 400, 600],
    bodyBytes: smallBodyBytes,
  },
  {
    name: 'request whose body of 16 KiB lacks a byte',
    plan: { kind: CrowdKind.HeldBodies, target },
    counts: [0, 200, 400, 600],
    bodyBytes: smallBodyBytes,
  },
  {
    name: 'request whose body of 1 MiB lacks a byte',
    plan: { kind: CrowdKind.HeldBodies, target },
    counts: [0, 8, 16, 24],
    bodyBytes: largeBodyBytes,
  },
  {
    name: 'head of 3,900 fields without its end',
    plan: { kind: CrowdKind.UnendedHeads, target },
    counts: [0, 50, 100, 150],
    bodyBytes: 0,
  },
];

/** Time for which what is held is kept before the memory is read, in milliseconds. */
const settleMs = 2_500;

const bytesPerMegabyte = 1_000_000;

/** Returns the resident memory of a fresh gateway that holds something, in megabytes. */
async function measure({ plan, bodyBytes }: HeldKind, count: number): Promise<number> {
  const gateway = new GatewayProcess();
  try {
    await gateway.start();
    const crowd = await CrowdProcess.start({
      crowds: [{ ...plan, count }],
      seed: count,
      key: defaultKey,
      callerPort: gateway.callerPort,
      readyPort: gateway.readyPort,
      maxBodyBytes: bodyBytes,
      maxHeadBytes: deployedLimits.max_header_bytes,
    });
    await new Promise((resolve) => {
      setTimeout(resolve, settleMs);
    });
    const memoryMb = readMemoryMb(gateway.pid, 'VmRSS');
    const { endedConnections } = await crowd.close();
    if (endedConnections > 0) {
      throw new Error(`the gateway ended ${endedConnections} of ${count} connections`);
    }
    return memoryMb;
  } finally {
    await gateway.close();
  }
}

/** Returns the slope of the least-squares line through points. */
function slopeOf(points: readonly (readonly [x: number, y: number])[]): number {
  const mean = (index: 0 | 1) =>
    points.reduce((sum, point) => sum + point[index], 0) / points.length;
  const [meanX, meanY] = [mean(0), mean(1)];
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  return covariance / points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
}

async function measureAll(): Promise<void> {
  for (const held of heldKinds) {
    const points: (readonly [number, number])[] = [];
    for (const count of held.counts) {
      points.push([count, await measure(held, count)]);
    }
    const bytesEach = Math.round(slopeOf(points) * bytesPerMegabyte);
    const residentMb = points.map(([, memoryMb]) => Math.round(memoryMb * 10) / 10);
    process.stdout.write(
      `${JSON.stringify({ held: held.name, counts: held.counts, residentMb, bytesEach })}\n`,
    );
  }
}

const cli = cac('caller-memory');
cli
  .command('', 'Measures the memory of a gateway for each thing that callers make it hold')
  .action(() => {
    measureAll().then(
      () => process.exit(0),
      (err: unknown) => {
        process.stderr.write(`${toErrorMessage(err)}\n`);
        process.exit(1);
      },
    );
  });
cli.help();
cli.parse();
