/** Address at which a gateway receives messages of its peers. */
export interface PeerAddress {
  readonly instance: string;
  readonly host: string;
  readonly port: number;
}
