import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';

describe('a call of a store that gets no answer', () => {
  // Guards against timeouts that are collected as garbage once the code is optimised.
  it('ends by its timeout although garbage is collected meanwhile', async () => {
    const program = fileURLToPath(new URL('unansweredCall.js', import.meta.url));
    const child = spawn(process.execPath, ['--expose-gc', '--always-turbofan', program], {
      stdio: 'inherit',
    });
    const killTimer = setTimeout(() => child.kill('SIGKILL'), 60_000);
    const status = await new Promise<number | null>((resolve) => {
      child.once('exit', resolve);
    });
    clearTimeout(killTimer);
    expect(status).to.equal(0);
  });
});
