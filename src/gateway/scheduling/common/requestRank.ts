import type { ConfigSnapshot, Route } from '../../config/common/configSnapshot.js';

/** Urgency of requests as the configuration states it. Lower values come first. */
export interface RequestRank {
  /** Priority of the organisation, or of the route where the organisation has none. */
  readonly first: number;
  /** Priority of the route. */
  readonly second: number;
}

/** What the scheduling of a request depends on, besides its size and its times. */
export interface RequestUrgency {
  readonly rank: RequestRank;
  /** Organisation whose share the request counts towards; undefined if capacity isn't shared by them. */
  readonly organisation: string | undefined;
}

/** Urgency of a request under the configuration in force at its arrival. */
export interface AssignedUrgency {
  /** Undefined if the configuration tells no requests of the service apart. */
  readonly urgency: RequestUrgency | undefined;
  /** Value from 0 (first) to 9 to tell endpoints; undefined if all requests have the same rank. */
  readonly headerValue: number | undefined;
}

/** Request to which an urgency is assigned. */
export interface RankedRequest {
  readonly route: Route;
  readonly service: string;
  readonly organisation: string | undefined;
}

/** Number of values of the header that tells endpoints the urgency. */
const headerValues = 10;

/**
 * Compares two ranks.
 *
 * @returns A negative number if `a` is more urgent, 0 if they are equal.
 */
export function compareRanks(a: RequestRank, b: RequestRank): number {
  return a.first - b.first || a.second - b.second;
}

/** Returns the name of a rank for logs and metrics. */
export function rankName({ first, second }: RequestRank): string {
  return `${first}/${second}`;
}

/** Ranks that a configuration allows for the requests of one service. */
export class ServiceRanks {
  /** Distinct ranks, the most urgent one first. */
  private readonly ranks: readonly RequestRank[];

  /** Whether organisations share insufficient capacity fairly. */
  private readonly isShared: boolean;

  private readonly priorities: ReadonlyMap<string, number>;

  /**
   * @param config - Configuration that names the priorities.
   * @param service - Name of the service.
   */
  constructor(config: ConfigSnapshot, service: string) {
    this.priorities = config.organisationPriorities ?? new Map();
    this.isShared = this.priorities.size > 0;
    const organisations = new Set(config.organisationByKey?.values());
    const ranks = new Map<string, RequestRank>();
    config.routes
      .filter((route) =>
        route.targets.some((target) => target.service === service && target.weight > 0),
      )
      .forEach((route) => {
        const isAnonymous = route.isPublic || config.organisationByKey === undefined;
        [...organisations, ...(isAnonymous ? [undefined] : [])].forEach((organisation) => {
          const rank = this.rankOf(route, organisation);
          ranks.set(rankName(rank), rank);
        });
      });
    this.ranks = [...ranks.values()].sort(compareRanks);
  }

  /** Whether requests differ in rank, or organisations share capacity. */
  get isActive(): boolean {
    return this.ranks.length > 1 || this.isShared;
  }

  /**
   * Returns the urgency of a request.
   *
   * @param route - Its route.
   * @param organisation - Its organisation, if known.
   * @returns The urgency, or undefined if the configuration tells no requests apart.
   */
  urgencyOf(route: Route, organisation: string | undefined): RequestUrgency | undefined {
    if (!this.isActive) {
      return undefined;
    }
    return {
      rank: this.rankOf(route, organisation),
      organisation: this.isShared ? (organisation ?? '') : undefined,
    };
  }

  /**
   * Returns the urgency to tell endpoints.
   *
   * @param rank - Rank of a request.
   * @returns A value from 0 (first) to 9, or undefined if all requests have the same rank.
   */
  headerValueOf(rank: RequestRank): number | undefined {
    const { length } = this.ranks;
    if (length < 2) {
      return undefined;
    }
    const position = this.ranks.filter((other) => compareRanks(other, rank) < 0).length;
    return length <= headerValues
      ? Math.min(position, headerValues - 1)
      : Math.min(headerValues - 1, Math.floor((position * headerValues) / length));
  }

  private rankOf(route: Route, organisation: string | undefined): RequestRank {
    const priority = organisation === undefined ? undefined : this.priorities.get(organisation);
    return { first: priority ?? route.priority, second: route.priority };
  }
}

/** Ranks of all services of the current configuration. */
export class ConfiguredRanks {
  private readonly byService = new Map<string, ServiceRanks>();

  private config: ConfigSnapshot | undefined;

  /** @param currentConfig - Returns the configuration in force; undefined until one was read. */
  constructor(private readonly currentConfig: () => ConfigSnapshot | undefined) {}

  /**
   * Assigns an urgency to a request.
   *
   * @param req - The request.
   */
  assign({ route, service, organisation }: RankedRequest): AssignedUrgency {
    const ranks = this.of(service);
    const urgency = ranks?.urgencyOf(route, organisation);
    return { urgency, headerValue: urgency && ranks?.headerValueOf(urgency.rank) };
  }

  private of(service: string): ServiceRanks | undefined {
    const config = this.currentConfig();
    if (config !== this.config) {
      this.config = config;
      this.byService.clear();
    }
    let ranks = this.byService.get(service);
    if (ranks === undefined && config) {
      ranks = new ServiceRanks(config, service);
      this.byService.set(service, ranks);
    }
    return ranks;
  }
}
