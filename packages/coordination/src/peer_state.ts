/** What an instance knows of a peer that it has exchanged digests with. */
export interface PeerState {
  readonly instanceId: string;
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly isLeaving: boolean;
  readonly revision: number;
  readonly heardAtMs: number;
}
