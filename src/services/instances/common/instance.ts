/** Program that an instance runs. */
export enum InstanceRole {
  Entry = 'entry',
  Agent = 'agent',
}

/** State of an instance in the platform's list. */
export enum InstanceState {
  Live = 'live',
  Leaving = 'leaving',
}

/** Line of the platform's instance list, which lags behind the truth. */
export interface InstanceRecord {
  readonly id: string;
  readonly role: InstanceRole;
  /** Host and port of the link server, as `host:port`. */
  readonly address: string;
  readonly place: string;
  readonly region: string;
  readonly state: InstanceState;
}

/** The platform's instance list. */
export interface IInstanceList {
  /** Returns the instances now listed; undefined if the list cannot be read. */
  read(): Promise<readonly InstanceRecord[] | undefined>;
}
