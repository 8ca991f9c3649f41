import { expect } from 'chai';
import { execFile } from 'node:child_process';
import { promisify } from 'node:util';

describe('the demo with separate processes', () => {
  it('answers all chats and bookings while a stage is killed and a rule is changed', async () => {
    const run = promisify(execFile);
    const { stdout } = await run(process.execPath, ['build/ibisspar-bench.mjs', 'demo']);
    const summary = JSON.parse(stdout.trim().split('\n').pop() ?? '{}') as Record<string, number>;
    expect(summary.whole).to.equal(24);
    expect(summary.bookings).to.equal(20);
    expect(summary.ranTwice).to.equal(0);
    expect(summary.layerFaults).to.equal(0);
  });
});
