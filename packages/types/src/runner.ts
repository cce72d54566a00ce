import type { MemberState } from "./member_state.js";

/** A back-end process, as listed by the platform. */
export interface Runner {
  readonly runnerId: string;
  readonly serviceId: string;
  readonly host: string;
  readonly port: number;
  readonly region: string;
  readonly availabilityZone: string;
  readonly state: MemberState;
}
