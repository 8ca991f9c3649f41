/** Characters of a prompt that decide whether two prompts share a prefix. */
const prefixCharacters = 64;

/** Most prefixes that are remembered for one endpoint. */
const maxPrefixes = 64;

/**
 * Remembers which prompt prefixes were sent to which endpoint.
 *
 * It is a guess: engines drop prefixes without telling in time. A wrong guess costs time only.
 */
export class PrefixDirectory {
  private readonly byEndpoint = new Map<string, Set<string>>();

  /**
   * Records that an endpoint was given a prompt.
   *
   * @param endpoint - Id of the endpoint.
   * @param prompt - The prompt.
   */
  add(endpoint: string, prompt: string): void {
    const prefixes = this.byEndpoint.get(endpoint) ?? new Set<string>();
    this.byEndpoint.set(endpoint, prefixes);
    const prefix = prompt.slice(0, prefixCharacters);
    prefixes.delete(prefix); // moves the prefix to the newest end
    prefixes.add(prefix);
    if (prefixes.size > maxPrefixes) {
      const [oldest] = prefixes;
      prefixes.delete(oldest);
    }
  }

  /**
   * Tells whether an endpoint probably holds a prompt's prefix.
   *
   * @param endpoint - Id of the endpoint.
   * @param prompt - The prompt.
   * @returns True if a prompt with the same beginning was sent there lately.
   */
  holds(endpoint: string, prompt: string): boolean {
    return this.byEndpoint.get(endpoint)?.has(prompt.slice(0, prefixCharacters)) ?? false;
  }

  /**
   * Records that an engine dropped a prefix.
   *
   * @param endpoint - Id of the endpoint.
   * @param prefix - Beginning of the prompt.
   */
  recordEviction(endpoint: string, prefix: string): void {
    this.byEndpoint.get(endpoint)?.delete(prefix);
  }

  /**
   * Forgets an endpoint that is gone.
   *
   * @param endpoint - Id of the endpoint.
   */
  removeEndpoint(endpoint: string): void {
    this.byEndpoint.delete(endpoint);
  }
}
