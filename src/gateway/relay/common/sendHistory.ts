/**
 * First endpoints of the paths to which a request was sent: where it may have run, and which of them must or
 * must not get it again.
 */
export class SendHistory {
  private readonly sentAddresses = new Set<string>();

  private readonly possibleRunAddresses = new Set<string>();

  private readonly excludedAddresses = new Set<string>();

  private readonly brokenAddresses = new Set<string>();

  /** @param maxEndpoints - Number of endpoints at which the request may run. */
  constructor(private readonly maxEndpoints: number) {}

  /** Whether an endpoint may have run the request. */
  get mayHaveRun(): boolean {
    return this.possibleRunAddresses.size > 0;
  }

  /** Whether the request may run at one more endpoint. */
  get mayRunElsewhere(): boolean {
    return this.possibleRunAddresses.size < Math.max(1, this.maxEndpoints);
  }

  /** Whether the request may run again, but only at the endpoint that may have run it already. */
  get hasOnlyEndpoint(): boolean {
    return this.possibleRunAddresses.size === 1 && !this.mayRunElsewhere;
  }

  /** Addresses that may get the request; undefined if all may. */
  get allowedAddresses(): ReadonlySet<string> | undefined {
    return this.mayRunElsewhere ? undefined : this.possibleRunAddresses;
  }

  /** Addresses that the next path must not use. */
  get avoidedAddresses(): readonly string[] {
    return [...this.excludedAddresses, ...(this.hasOnlyEndpoint ? [] : this.brokenAddresses)];
  }

  /**
   * Records that the request is sent to an endpoint.
   *
   * @param address - Address of the endpoint.
   * @returns Whether the endpoint gets it for the first time.
   */
  recordSend(address: string): boolean {
    const isFirst = !this.sentAddresses.has(address);
    this.sentAddresses.add(address);
    return isFirst;
  }

  /** Records that the request may have run at an endpoint. */
  recordPossibleRun(address: string): void {
    this.possibleRunAddresses.add(address);
  }

  /** Records that the connection to an endpoint broke, so that it is avoided as long as others may be used. */
  recordBreak(address: string): void {
    this.brokenAddresses.add(address);
  }

  /** Excludes an endpoint, of whatever stage, from all further paths. */
  exclude(address: string): void {
    this.excludedAddresses.add(address);
  }
}
