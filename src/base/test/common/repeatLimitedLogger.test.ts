import { expect } from 'chai';
import { formatLine, LogLevel } from '../../common/logger.js';
import { RepeatLimitedLogger } from '../../common/repeatLimitedLogger.js';
import { FakeClock } from './fakeClock.js';

describe('RepeatLimitedLogger', () => {
  let clock: FakeClock;
  let lines: string[];
  let logger: RepeatLimitedLogger;

  const repeat = (count: number, endpoint: string): void => {
    for (let index = 0; index < count; index += 1) {
      logger.log(LogLevel.Info, 'crash-undecided', { endpoint });
    }
  };

  beforeEach(() => {
    clock = new FakeClock();
    lines = [];
    logger = new RepeatLimitedLogger(
      { log: (_level, event, fields = {}) => lines.push(formatLine(event, fields)) },
      { event: 'crash-undecided', subjectField: 'endpoint', intervalMs: 60_000 },
      clock,
    );
  });

  it('writes one line of a subject in an interval, and the number left out with the next one', () => {
    repeat(5, 'a');
    repeat(1, 'b');
    expect(lines).to.deep.equal([
      'event=crash-undecided endpoint=a',
      'event=crash-undecided endpoint=b',
    ]);
    clock.advance(60_000);
    repeat(2, 'a');
    expect(lines.slice(2)).to.deep.equal(['event=crash-undecided endpoint=a leftOut=4']);
  });

  it('writes the number left out on its own if the event does not repeat', () => {
    repeat(3, 'a');
    clock.advance(60_000);
    repeat(1, 'b');
    expect(lines.slice(1)).to.deep.equal([
      'event=lines-left-out of=crash-undecided endpoint=a count=2',
      'event=crash-undecided endpoint=b',
    ]);
  });

  it('passes other events on', () => {
    logger.log(LogLevel.Info, 'crash-ruled-out', { endpoint: 'a' });
    logger.log(LogLevel.Info, 'crash-ruled-out', { endpoint: 'a' });
    expect(lines).to.have.length(2);
  });
});
