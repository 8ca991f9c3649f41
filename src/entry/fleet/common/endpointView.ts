import type { EndpointReport } from '../../../services/link/common/messages.js';
import type { LayerRange } from '../../../services/model/common/model.js';

/** What an entry knows of an endpoint; may be out of date at any time. */
export interface EndpointView {
  readonly id: string;
  readonly incarnation: string;
  /** `host:port` of the agent. */
  readonly address: string;
  readonly place: string;
  readonly region: string;
  readonly report: EndpointReport;
  /** True while a link to the agent is open. */
  readonly connected: boolean;
  /** True if the agent or the instance list says that the endpoint is leaving. */
  readonly leaving: boolean;
  /** True while the endpoint is ejected for its failures. */
  readonly ejected: boolean;
  /** Attempts of this entry that run there. */
  readonly ownActive: number;
  /** Attempts of other entries that ran there at the agent's last report. */
  readonly othersActive: number;
  /** Entries that are linked to the agent, this one included. */
  readonly entries: number;
}

/**
 * Estimates how many attempts run at an endpoint.
 *
 * @param view - The endpoint.
 * @returns This entry's present count and the others' at the agent's last report.
 */
export function loadOf(view: EndpointView): number {
  return view.ownActive + view.othersActive;
}

/**
 * Tells whether an endpoint may get new work.
 *
 * @param view - The endpoint.
 * @returns True if it is linked, ready, staying and has room.
 */
export function isUsable(view: EndpointView): boolean {
  return (
    view.connected &&
    !view.leaving &&
    !view.ejected &&
    view.report.ready &&
    loadOf(view) < view.report.capacity
  );
}

/**
 * Tells whether an endpoint holds a range of a model.
 *
 * @param view - The endpoint.
 * @param model - Name of the model.
 * @returns True if it serves any of the model's layers.
 */
export function servesModel(view: EndpointView, model: string): boolean {
  const { report } = view;
  return !report.service && report.model === model && report.range.to > report.range.from;
}

/**
 * Compares two ranges.
 *
 * @param a - One range.
 * @param b - Another range.
 * @returns True if both hold the same layers.
 */
export function sameRange(a: LayerRange, b: LayerRange): boolean {
  return a.from === b.from && a.to === b.to;
}

/**
 * Lists the endpoints that can do the same work as another.
 *
 * @param views - All endpoints.
 * @param endpoint - Id of the endpoint.
 * @returns Ids of those with the same layers or service, itself included.
 */
export function interchangeableEndpoints(
  views: readonly EndpointView[],
  endpoint: string,
): readonly string[] {
  const self = views.find((view) => view.id === endpoint);
  return views
    .filter(({ report }) => self !== undefined && report.model === self.report.model)
    .filter(({ report }) => self !== undefined && sameRange(report.range, self.report.range))
    .map((view) => view.id);
}

/**
 * Estimates how many requests of a model this entry may run at once: the capacity of the first
 * stages, divided by the number of entries.
 *
 * @param views - All endpoints.
 * @param model - Name of the model.
 * @returns Number of requests.
 */
export function chainSlots(views: readonly EndpointView[], model: string): number {
  return views
    .filter((view) => view.connected && servesModel(view, model) && view.report.range.from === 0)
    .reduce((sum, view) => sum + view.report.capacity / view.entries, 0);
}
