/** Base class of every typed error of the project; each layer derives its own. */
export abstract class IbissparError extends Error {
  /** Stable, machine-readable name of the error. */
  abstract readonly code: string;

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/**
 * Renders anything that was thrown as one line of text.
 *
 * @param thrown - The caught value.
 * @returns The error's message, or the value as text.
 */
export function toErrorMessage(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
