/** Joins the pages of a list, which the store may have read at different revisions. */
export class PagedList<T> {
  private readonly allItems: T[] = [];

  private lowestRevision: number | undefined;

  private highestRevision = 0;

  /** Items of all pages, in their order. */
  get items(): readonly T[] {
    return this.allItems;
  }

  /**
   * Revision of the oldest page: the items include every change up to it. A page can be older than the ones
   * before it if the list may lag, or newer if objects change meanwhile.
   */
  get revision(): number {
    return this.lowestRevision ?? 0;
  }

  /** Revision of the page that the store read last; some items may include changes up to it. */
  get newestRevision(): number {
    return this.highestRevision;
  }

  /**
   * Adds the next page.
   *
   * @param items - Items of the page.
   * @param revision - Revision at which the store read the page.
   */
  add(items: readonly T[], revision: number): void {
    this.allItems.push(...items);
    this.lowestRevision = Math.min(this.lowestRevision ?? revision, revision);
    this.highestRevision = Math.max(this.highestRevision, revision);
  }
}
