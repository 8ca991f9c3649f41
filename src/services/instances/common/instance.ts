/** Program that runs on an instance. */
export enum InstanceRole {
  Entry = 'entry',
  Agent = 'agent',
}

/** State of an instance in the platform's list. */
export enum InstanceState {
  Live = 'live',
  Leaving = 'leaving',
}

/** Record of the platform's instance list. The list may lag behind the actual state. */
export interface InstanceRecord {
  readonly id: string;
  readonly role: InstanceRole;
  /** Address of the link server, as `host:port`. */
  readonly address: string;
  readonly place: string;
  readonly region: string;
  readonly state: InstanceState;
}

/** Source of the platform's instance list. */
export interface IInstanceList {
  /** Returns the instances that are currently listed, or undefined if the list cannot be read. */
  read(): Promise<readonly InstanceRecord[] | undefined>;
}
