import { EventEmitter } from 'node:events';
import { expect } from 'chai';
import { ProcessSignals } from '../../node/processSignals.js';

describe('ProcessSignals', () => {
  const start = () => {
    const calls: string[] = [];
    const emitter = Object.assign(new EventEmitter(), {
      exit: (status: number) => calls.push(`exit ${status}`),
    });
    const signals = new ProcessSignals(emitter as unknown as NodeJS.Process);
    const takeOver = () =>
      signals.takeOver({ stop: () => calls.push('stop'), reload: () => calls.push('reload') });
    return { calls, emitter, takeOver };
  };

  // Guards against a SIGHUP that ends a process, or is forgotten, while the process starts.
  it('remembers a reload that is asked for while the program starts', () => {
    const { calls, emitter, takeOver } = start();
    emitter.emit('SIGHUP');
    emitter.emit('SIGHUP');
    expect(calls).to.deep.equal([]);
    takeOver();
    expect(calls).to.deep.equal(['reload']);
  });

  it('ends a process that has begun nothing', () => {
    const { calls, emitter } = start();
    emitter.emit('SIGTERM');
    expect(calls).to.deep.equal(['exit 0']);
  });

  it('passes each signal on to the program, in any order and again', () => {
    const { calls, emitter, takeOver } = start();
    takeOver();
    ['SIGHUP', 'SIGTERM', 'SIGHUP', 'SIGINT', 'SIGTERM'].forEach((each) => emitter.emit(each));
    expect(calls).to.deep.equal(['reload', 'stop', 'reload', 'stop', 'stop']);
  });
});
