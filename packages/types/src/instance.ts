import type { MemberState } from "./member_state.js";

/** An instance of this system, as listed by the platform. */
export interface Instance {
  readonly instanceId: string;
  readonly host: string;
  readonly peerPort: number;
  readonly region: string;
  readonly availabilityZone: string;
  readonly state: MemberState;
}
