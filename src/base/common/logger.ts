/** Severity of a log line. */
export enum LogLevel {
  Error = 'error',
  Warn = 'warn',
  Info = 'info',
  Debug = 'debug',
}

/** Values of one log line by key. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one line of key=value pairs for each event. */
export interface ILogger {
  /** Writes an event at the given level. */
  log(level: LogLevel, event: string, fields?: LogFields): void;
}

function formatValue(value: string | number | boolean): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}

/**
 * Formats one event as key=value pairs.
 *
 * @param event - Name of the event.
 * @param fields - Values by key; undefined values are left out.
 * @returns The line without a line break.
 */
export function formatLine(event: string, fields: LogFields): string {
  const all: LogFields = { event, ...fields };
  return Object.entries(all)
    .flatMap(([key, value]) => (value === undefined ? [] : [`${key}=${formatValue(value)}`]))
    .join(' ');
}
