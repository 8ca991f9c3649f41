import type { EndpointReport } from '../../../services/link/common/messages.js';
import type { LayerRange } from '../../../services/model/common/model.js';

/** What an entry knows about an endpoint. It may be out of date at any time. */
export interface EndpointView {
  readonly id: string;
  readonly incarnation: string;
  /** `host:port` of the agent. */
  readonly address: string;
  /** Data centre of the endpoint. */
  readonly place: string;
  readonly region: string;
  readonly report: EndpointReport;
  /** True while a link to the agent is open. */
  readonly connected: boolean;
  /** True if the agent or the instance list reports that the endpoint is leaving. */
  readonly leaving: boolean;
  /** True while the endpoint is ejected because of failures. */
  readonly ejected: boolean;
  /** Number of attempts of this entry that run at the endpoint. */
  readonly ownActive: number;
  /** Number of attempts of other entries that ran there at the time of the agent's last report. */
  readonly othersActive: number;
  /** Number of entries that have a link to the agent, including this one. */
  readonly entries: number;
}

/**
 * Estimates how many attempts run at an endpoint.
 *
 * @param view - The endpoint.
 * @returns The sum of this entry's current attempts and those of other entries at the time of the
 *   agent's last report.
 */
export function loadOf(view: EndpointView): number {
  return view.ownActive + view.othersActive;
}

/**
 * Returns whether an endpoint may be given new work.
 *
 * @param view - The endpoint.
 * @returns True if it is connected, ready, neither leaving nor ejected, and below its capacity.
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
 * Returns whether an endpoint holds layers of a model.
 *
 * @param view - The endpoint.
 * @param model - Name of the model.
 * @returns True if its layer range of the model is not empty.
 */
export function servesModel(view: EndpointView, model: string): boolean {
  const { report } = view;
  return !report.service && report.model === model && report.range.to > report.range.from;
}

/**
 * Compares two layer ranges.
 *
 * @param a - One range.
 * @param b - Another range.
 * @returns True if both cover the same layers.
 */
export function sameRange(a: LayerRange, b: LayerRange): boolean {
  return a.from === b.from && a.to === b.to;
}

/**
 * Returns the endpoints that can do the same work as a given one.
 *
 * @param views - All endpoints.
 * @param endpoint - Id of the endpoint.
 * @returns Ids of the endpoints with the same layers or service, including the given one.
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
 * Estimates how many requests of a model this entry may run concurrently: the total capacity of
 * the endpoints that hold the first layers, each divided by the number of entries linked to it.
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
