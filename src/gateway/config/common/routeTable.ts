import type { IRandom } from '../../../base/common/random.js';
import type { ConfigSnapshot, Route } from './configSnapshot.js';

/** Outcome of matching a request against a configuration. */
export enum Verdict {
  Allowed = 'allowed',
  NoRoute = 'no-route',
  UnknownKey = 'unknown-key',
}

/** Route of a request, or the reason for its refusal. */
export type RouteMatch =
  | { readonly verdict: Verdict.NoRoute | Verdict.UnknownKey }
  | {
      readonly verdict: Verdict.Allowed;
      readonly route: Route;
      /** Organisation to which the request's key belongs; undefined without a known key. */
      readonly organisation: string | undefined;
    };

/** Route and service of a request, or the reason for its refusal. */
export type RouteDecision =
  | { readonly verdict: Verdict.NoRoute | Verdict.UnknownKey }
  | (Extract<RouteMatch, { readonly verdict: Verdict.Allowed }> & { readonly service: string });

/** Parts of a request on which routing depends. */
export interface RouteRequest {
  readonly host: string;
  /** Path with its query, as received. */
  readonly target: string;
  readonly apiKey: string | undefined;
}

/**
 * Removes the port from the value of a Host header and converts it to lower case.
 *
 * @param host - Value of the header.
 * @returns The host name.
 */
export function hostName(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}

function pathOf(target: string): string {
  const query = target.indexOf('?');
  return query < 0 ? target : target.slice(0, query);
}

/** Routes of one configuration, indexed by host and by descending prefix length. */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>();

  /** @param config - Configuration that holds the routes. */
  constructor(readonly config: ConfigSnapshot) {
    for (const route of config.routes) {
      const host = hostName(route.host);
      this.byHost.set(host, [...(this.byHost.get(host) ?? []), route]);
    }
    for (const routes of this.byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /**
   * Finds the route, the service and the organisation of a request.
   *
   * @param req - Request to match.
   * @param random - Selects among the weighted services of a split route.
   * @returns The matched route, or the reason for the refusal.
   */
  decide(req: RouteRequest, random: IRandom): RouteDecision {
    const match = this.match(req);
    return match.verdict === Verdict.Allowed
      ? { ...match, service: pickTarget(match.route, random) }
      : match;
  }

  /**
   * Finds the route and the organisation of a request.
   *
   * @param req - Request to match.
   * @returns The matched route, or the reason for the refusal.
   */
  match(req: RouteRequest): RouteMatch {
    const path = pathOf(req.target);
    const route = this.byHost
      .get(hostName(req.host))
      ?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    if (route === undefined || route.targets.length === 0) {
      return { verdict: Verdict.NoRoute };
    }
    const keys = this.config.organisationByKey;
    const organisation = req.apiKey === undefined ? undefined : keys?.get(req.apiKey);
    if (keys !== undefined && organisation === undefined && !route.isPublic) {
      return { verdict: Verdict.UnknownKey };
    }
    return { verdict: Verdict.Allowed, route, organisation };
  }
}

/**
 * Selects the service of a request.
 *
 * @param route - Route of the request, which has targets.
 * @param random - Selects among the weighted services of a split route.
 * @returns The name of the service.
 */
export function pickTarget(route: Route, random: IRandom): string {
  const totalWeight = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let remainingWeight = random.float() * totalWeight;
  for (const target of route.targets) {
    remainingWeight -= target.weight;
    if (remainingWeight < 0) {
      return target.service;
    }
  }
  return route.targets[route.targets.length - 1].service;
}
