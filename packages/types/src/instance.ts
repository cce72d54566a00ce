import type { MemberState } from "./member_state.js";

/** An entry instance as the platform's instance list shows it. */
export interface Instance {
  readonly instanceId: string;
  readonly host: string;
  readonly peerPort: number;
  readonly region: string;
  readonly availabilityZone: string;
  readonly state: MemberState;
}
