import { FairClock } from './fairClock.js';

/** Item of a fair queue. */
export interface QueuedItem<T> {
  readonly flow: string;
  readonly value: T;
  /** Expected cost, in any unit that all flows share. */
  readonly cost: number;
  /** Priority within the flow; items with a higher one leave first. */
  readonly priority: number;
}

interface SequencedItem<T> extends QueuedItem<T> {
  readonly sequence: number;
}

/**
 * Weighted fair queue: over time, flows that have items waiting are served in proportion to their
 * weights, whatever the number of their items.
 */
export class FairQueue<T> {
  private readonly waiting = new Map<string, SequencedItem<T>[]>();

  private readonly clock = new FairClock();

  private sequence = 0;

  private count = 0;

  /**
   * @param weightOf - Returns the current weight of a flow. It is read when an item leaves, so that
   * a change of weights also applies to items that are already waiting.
   */
  constructor(private readonly weightOf: (flow: string) => number) {}

  /** Number of waiting items. */
  get size(): number {
    return this.count;
  }

  /**
   * Returns the number of waiting items of a flow.
   *
   * @param flow - Name of the flow.
   * @returns Number of items.
   */
  sizeOf(flow: string): number {
    return this.waiting.get(flow)?.length ?? 0;
  }

  /**
   * Adds an item.
   *
   * @param item - The item.
   * @param isFirst - True to put it before the items of its flow that have the same priority.
   */
  push(item: QueuedItem<T>, isFirst = false): void {
    const items = this.waiting.get(item.flow) ?? [];
    this.waiting.set(item.flow, items);
    this.sequence += 1;
    const sequenced = { ...item, sequence: isFirst ? -this.sequence : this.sequence };
    let index = items.length;
    while (index > 0 && precedes(sequenced, items[index - 1])) {
      index -= 1;
    }
    items.splice(index, 0, sequenced);
    this.count += 1;
  }

  /**
   * Removes and returns the next item in fair order.
   *
   * @param accept - Tells whether an item can leave now; a flow whose first item cannot is skipped.
   * @returns The item, or undefined if none can leave.
   */
  pop(accept: (value: T, flow: string) => boolean): T | undefined {
    const order = [...this.waiting.entries()]
      .map(([flow, items]) => ({ flow, item: items[0], start: this.clock.startTimeOf(flow) }))
      .sort((a, b) => a.start - b.start || a.item.sequence - b.item.sequence);
    for (const { flow, item } of order) {
      if (accept(item.value, flow)) {
        this.clock.serve(flow, item.cost / this.weightOf(flow));
        this.removeAt(flow, 0);
        return item.value;
      }
    }
    return undefined;
  }

  /**
   * Removes an item that no longer needs to be served.
   *
   * @param value - The item's value.
   * @returns True if it was waiting.
   */
  remove(value: T): boolean {
    for (const [flow, items] of this.waiting) {
      const index = items.findIndex((item) => item.value === value);
      if (index >= 0) {
        this.removeAt(flow, index);
        return true;
      }
    }
    return false;
  }

  /**
   * Removes the items that match.
   *
   * @param matches - Tells whether an item is to be removed.
   * @returns The values of the removed items.
   */
  removeWhere(matches: (value: T) => boolean): readonly T[] {
    const values = [...this.waiting.values()].flatMap((items) => items.map((item) => item.value));
    const removed = values.filter(matches);
    removed.forEach((value) => this.remove(value));
    return removed;
  }

  private removeAt(flow: string, index: number): void {
    const items = this.waiting.get(flow) ?? [];
    items.splice(index, 1);
    this.count -= 1;
    if (items.length === 0) {
      this.waiting.delete(flow);
    }
  }
}

function precedes(a: SequencedItem<unknown>, b: SequencedItem<unknown>): boolean {
  return a.priority > b.priority || (a.priority === b.priority && a.sequence < b.sequence);
}
