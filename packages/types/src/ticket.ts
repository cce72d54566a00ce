import type { PeerIdentity } from "./peer_identity.js";

/** What a sealed ticket says: who may run the submission, who knows. */
export interface Ticket {
  readonly ticketId: string;
  readonly serviceId: string;
  readonly teamId: string;
  readonly method: string;
  readonly path: string;
  readonly owner: PeerIdentity;
  readonly witness: PeerIdentity;
  readonly expiresAtMs: number;
}
