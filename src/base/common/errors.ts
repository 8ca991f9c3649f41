/** Base class of all typed errors of the project; each layer derives its own subclasses. */
export abstract class IbissparError extends Error {
  /** Stable, machine-readable code of the error. */
  abstract readonly code: string;

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/**
 * Converts any thrown value to a message.
 *
 * @param thrown - Caught value.
 * @returns The error's message, or the value converted to a string if it is not an error.
 */
export function toErrorMessage(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}

/** Maximum number of frames of a stack in a log line. */
const maxStackFrames = 12;

/**
 * Returns where a value was thrown.
 *
 * @param thrown - Caught value.
 * @returns The frames of its stack, the innermost first; undefined if it has none.
 */
export function stackOf(thrown: unknown): string | undefined {
  const frames = thrown instanceof Error ? thrown.stack?.split('\n') : undefined;
  return frames
    ?.filter((line) => /^\s*at /.test(line))
    .slice(0, maxStackFrames)
    .map((line) => line.trim())
    .join(' < ');
}
