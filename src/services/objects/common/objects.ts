import type { Result } from 'ts-results-es';
import { IbissparError } from '../../../base/common/errors.js';

/** Kinds of objects that the system keeps in the platform. */
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
}

/** Object as stored by the platform. */
export interface StoredObject<T = unknown> {
  readonly kind: string;
  readonly name: string;
  /** Grows with every write to this object. */
  readonly version: number;
  readonly value: T;
}

/** The platform did not answer, or answered with a server error; a write may have taken effect. */
export class PlatformUnavailableError extends IbissparError {
  readonly code = 'platform-unavailable';
}

/** A conditional update did not match the stored version; it had no effect. */
export class VersionConflictError extends IbissparError {
  readonly code = 'version-conflict';
}

/** The platform refused the call for good. */
export class PlatformRefusedError extends IbissparError {
  readonly code = 'platform-refused';
}

/** What a read can fail with. */
export type ReadError = PlatformUnavailableError | PlatformRefusedError;

/** What a conditional update can fail with. */
export type WriteError = ReadError | VersionConflictError;

/** Version that a conditional update names for an object that must not exist yet. */
export const absentVersion = 0;

/** Change seen by a watch. */
export interface WatchBatch {
  /** Sequence number to pass to the next watch call. */
  readonly sequence: number;
  /** Names of the objects that changed. */
  readonly names: readonly string[];
}

/** The platform's object API. */
export interface IObjectStore {
  /** Reads one object; undefined if it does not exist. */
  get<T>(kind: ObjectKind, name: string): Promise<Result<StoredObject<T> | undefined, ReadError>>;
  /** Reads all objects of a kind. */
  list<T>(kind: ObjectKind): Promise<Result<readonly StoredObject<T>[], ReadError>>;
  /** Writes an object if its version is still `version`; returns the new version. */
  put<T>(
    kind: ObjectKind,
    name: string,
    value: T,
    version: number,
  ): Promise<Result<number, WriteError>>;
  /** Waits up to `waitMs` for changes of a kind after a sequence number. */
  watch(
    kind: ObjectKind,
    sequence: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<WatchBatch, ReadError>>;
}
