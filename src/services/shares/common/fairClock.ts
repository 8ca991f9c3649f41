/** Number of remembered finish times above which outdated ones are dropped. */
const maxFinishTimes = 4_096;

/**
 * Virtual time of start-time fair queueing. The flow whose next item has the lowest start time is served
 * first. A flow without items doesn't save up time for later.
 */
export class FairClock {
  /** Virtual finish time of the last item served, by flow. */
  private readonly finishTimes = new Map<string, number>();

  private virtualTime = 0;

  /**
   * Returns the virtual start time of a flow's next item.
   *
   * @param flow - Name of the flow.
   */
  startTimeOf(flow: string): number {
    return Math.max(this.virtualTime, this.finishTimes.get(flow) ?? 0);
  }

  /**
   * Records that an item is served.
   *
   * @param flow - Name of the flow.
   * @param amount - Cost of the item, divided by the weight of the flow.
   */
  serve(flow: string, amount: number): void {
    const start = this.startTimeOf(flow);
    this.virtualTime = Math.max(this.virtualTime, start);
    this.finishTimes.set(flow, start + amount);
    this.prune();
  }

  private prune(): void {
    if (this.finishTimes.size <= maxFinishTimes) {
      return;
    }
    for (const [flow, finishTime] of this.finishTimes) {
      if (finishTime <= this.virtualTime) {
        this.finishTimes.delete(flow);
      }
    }
  }
}
