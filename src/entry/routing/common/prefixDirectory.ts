/** Number of leading characters by which prompts are compared. */
const prefixCharacters = 64;

/** Maximum number of prefixes that are remembered for each endpoint. */
const maxPrefixes = 64;

/**
 * Remembers which prompt prefixes were sent to which endpoint.
 *
 * The result is an estimate, because engines evict prefixes without reporting it in time. A wrong
 * estimate only costs latency.
 */
export class PrefixDirectory {
  private readonly byEndpoint = new Map<string, Set<string>>();

  /**
   * Records that a prompt was sent to an endpoint.
   *
   * @param endpoint - Id of the endpoint.
   * @param prompt - The whole prompt.
   */
  recordPrompt(endpoint: string, prompt: string): void {
    const prefixes = this.byEndpoint.get(endpoint) ?? new Set<string>();
    this.byEndpoint.set(endpoint, prefixes);
    const prefix = prompt.slice(0, prefixCharacters);
    prefixes.delete(prefix); // re-inserts the prefix as the most recent one
    prefixes.add(prefix);
    if (prefixes.size > maxPrefixes) {
      const [oldest] = prefixes;
      prefixes.delete(oldest);
    }
  }

  /**
   * Returns whether an endpoint probably has a prompt's prefix in its cache.
   *
   * @param endpoint - Id of the endpoint.
   * @param prompt - The whole prompt.
   * @returns True if a prompt with the same leading characters was sent there recently.
   */
  holds(endpoint: string, prompt: string): boolean {
    return this.byEndpoint.get(endpoint)?.has(prompt.slice(0, prefixCharacters)) ?? false;
  }

  /**
   * Records that an engine evicted a prefix.
   *
   * @param endpoint - Id of the endpoint.
   * @param prefix - Leading characters of the prompt, as stored by {@link recordPrompt}.
   */
  recordEviction(endpoint: string, prefix: string): void {
    this.byEndpoint.get(endpoint)?.delete(prefix);
  }

  /**
   * Removes all prefixes of an endpoint.
   *
   * @param endpoint - Id of the endpoint.
   */
  removeEndpoint(endpoint: string): void {
    this.byEndpoint.delete(endpoint);
  }
}
