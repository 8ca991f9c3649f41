import {
  RouteKind,
  type ConfigSnapshot,
  type EngineProfile,
  type Route,
} from '../../common/configSnapshot.js';

/** Creates a route with default values, overridden by `changes`. */
export function routeWith(changes: Partial<Route>): Route {
  return {
    name: 'route',
    host: 'a.example',
    pathPrefix: '/a/',
    kind: RouteKind.Safe,
    timeoutMs: 1_000,
    objectiveMs: 100,
    maxPauseMs: undefined,
    priority: 1,
    targets: [{ service: 'one', weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    isResumable: false,
    ...changes,
  };
}

/** Creates a configuration with default values, overridden by `changes`. */
export function configWith(changes: Partial<ConfigSnapshot>): ConfigSnapshot {
  return {
    version: 1,
    routes: [routeWith({})],
    services: new Map(),
    limits: {
      maxHeaderBytes: 1_000,
      maxBodyBytes: 1_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
    },
    organisationByKey: new Map([['key', 'org']]),
    ...changes,
  };
}

/** Engine profile of an example site: 80 layers and three kinds of cards. */
export const engine: EngineProfile = {
  layerCount: 80,
  layerMb: 1_750,
  cacheBytesPerToken: 1_315_343,
  stepMs: 1.02,
  stepMsPerActiveRequest: 0.0102,
  prefillTokensPerSecond: 105_000,
  attentionMsPerMillionPairs: 0.309,
  stepsPerPass: 3,
  slots: 134,
  loadMs: 14_000,
  maxConcurrentLoads: 5,
  meanOutputTokens: 203,
  activationBytesPerToken: 28_226,
  interDataCentreMbps: 18_000,
  cards: new Map([
    ['large', { memoryMb: 72_000, stepFactor: 2.4, prefillFactor: 3.2 }],
    ['middle', { memoryMb: 43_200, stepFactor: 5.6, prefillFactor: 2.7 }],
    ['small', { memoryMb: 21_600, stepFactor: 16, prefillFactor: 8.2 }],
  ]),
};
