/** Severity of a log line. */
export enum LogLevel {
  Error = 'error',
  Warn = 'warn',
  Info = 'info',
  Debug = 'debug',
}

/** Fields of a log line: values by key. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Logger that writes each event as a line of key=value pairs. */
export interface ILogger {
  /** Writes an event at the given level. */
  log(level: LogLevel, event: string, fields?: LogFields): void;
}

function formatValue(value: string | number | boolean): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}

/**
 * Formats an event as a line of key=value pairs.
 *
 * @param event - Name of the event.
 * @param fields - Values by key; undefined values are omitted.
 * @returns The line, without a line break.
 */
export function formatLine(event: string, fields: LogFields): string {
  const allFields: LogFields = { event, ...fields };
  return Object.entries(allFields)
    .flatMap(([key, value]) => (value === undefined ? [] : [`${key}=${formatValue(value)}`]))
    .join(' ');
}
