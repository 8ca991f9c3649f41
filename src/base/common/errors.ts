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
