/** Identifies one process of an instance; a restart has a new incarnation. */
export interface PeerIdentity {
  readonly instanceId: string;
  readonly incarnation: string;
}
