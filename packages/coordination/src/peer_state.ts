/** State of a peer as of its last digest. */
export interface PeerState {
  readonly instanceId: string;
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly isLeaving: boolean;
  readonly revision: number;
  readonly heardAtMs: number;
}
