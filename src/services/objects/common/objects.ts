import type { Result } from 'ts-results-es';
import type { Event } from '../../../base/common/event.js';
import { IbissparError } from '../../../base/common/errors.js';

/** Kinds of objects that the system stores in the platform. */
export enum ObjectKind {
  Models = 'models',
  Services = 'services',
  Organisations = 'organisations',
  RuleManifest = 'rulemanifest',
  RuleChunks = 'rulechunks',
  Claims = 'claims',
  ClaimSegments = 'claimsegments',
  Leases = 'leases',
  Placements = 'placements',
  Quarantine = 'quarantine',
  Usage = 'usage',
  Gateways = 'gateways',
  Eras = 'eras',
}

/** Object with its version, as the platform stores it. */
export interface StoredObject<T = unknown> {
  readonly kind: string;
  readonly name: string;
  /** Increases with every write to this object. */
  readonly version: number;
  readonly value: T;
}

/** The platform did not answer or answered with a server error. A write may have taken effect. */
export class PlatformUnavailableError extends IbissparError {
  readonly code = 'platform-unavailable';
}

/** The stored version differs from the expected one, so the conditional update had no effect. */
export class VersionConflictError extends IbissparError {
  readonly code = 'version-conflict';
}

/** The platform rejected the call; a retry would be rejected as well. */
export class PlatformRefusedError extends IbissparError {
  readonly code = 'platform-refused';
}

/** Error of a failed read. */
export type ReadError = PlatformUnavailableError | PlatformRefusedError;

/** Error of a failed conditional update. */
export type WriteError = ReadError | VersionConflictError;

/** Expected version of a conditional update that may only create the object. */
export const absentVersion = 0;

/** Era of a store that has never come back from a copy. */
export const firstEra = 1;

/** Changes that a watch call returned. */
export interface WatchBatch {
  /** Sequence number to pass to the next watch call. */
  readonly sequence: number;
  /** Names of the objects that changed. */
  readonly names: readonly string[];
}

/** The store came back from an older copy of itself. */
export interface EraChange {
  readonly previousEra: number;
  readonly era: number;
}

/**
 * Tells when the store has come back from an older copy. Within an era, the store forgets nothing and
 * gives out each version once; both may fail from one era to the next.
 */
export interface IStoreEra {
  /** Number of the era, which rises with each return from a copy; 0 while it is unknown. */
  readonly era: number;
  /** Fires once for each change of era that this process notices. */
  readonly onDidChangeEra: Event<EraChange>;
}

/** Client of the platform's object API. */
export interface IObjectStore {
  /** Reads one object; returns undefined if it does not exist. */
  get<T>(kind: ObjectKind, name: string): Promise<Result<StoredObject<T> | undefined, ReadError>>;
  /** Reads all objects of a kind. */
  list<T>(kind: ObjectKind): Promise<Result<readonly StoredObject<T>[], ReadError>>;
  /** Writes an object if its stored version is `version`; returns the new version. */
  put<T>(
    kind: ObjectKind,
    name: string,
    value: T,
    version: number,
  ): Promise<Result<number, WriteError>>;
  /** Waits up to `waitMs` for changes to objects of a kind after a sequence number. */
  watch(
    kind: ObjectKind,
    sequence: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<WatchBatch, ReadError>>;
}
