import type { PeerIdentity } from "./peer_identity.js";

/**
 * Contents of a sealed ticket. Only the owner, or its successor after a handoff,
 * may run the submission, and only after the witness has recorded the start.
 */
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
