import { createConsola, type ConsolaInstance } from 'consola/core';
import { formatLine, LogLevel, type ILogger, type LogFields } from '../common/logger.js';

const consolaLevels: Readonly<Record<LogLevel, number>> = {
  [LogLevel.Error]: 0,
  [LogLevel.Warn]: 1,
  [LogLevel.Info]: 3,
  [LogLevel.Debug]: 4,
};

/** Logger that writes key=value lines to standard output through consola. */
export class ConsolaLogger implements ILogger {
  private readonly consola: ConsolaInstance;

  /**
   * @param level - Least severe level that is logged.
   * @param commonFields - Fields added to every line, such as the instance.
   * @param write - Called with each line, including its line break.
   */
  constructor(
    level: LogLevel,
    private readonly commonFields: LogFields,
    write: (line: string) => void = (line) => process.stdout.write(line),
  ) {
    this.consola = createConsola({
      level: consolaLevels[level],
      throttle: 0,
      reporters: [
        {
          log: (entry) => {
            const line = `time=${entry.date.toISOString()} level=${entry.type} ${entry.args.join(' ')}`;
            write(`${line}\n`);
          },
        },
      ],
    });
  }

  log(level: LogLevel, event: string, fields: LogFields = {}): void {
    this.consola[level](formatLine(event, { ...this.commonFields, ...fields }));
  }
}
