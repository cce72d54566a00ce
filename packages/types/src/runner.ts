import type { MemberState } from "./member_state.js";

/** A back end process as the platform's instance list shows it. */
export interface Runner {
  readonly runnerId: string;
  readonly serviceId: string;
  readonly host: string;
  readonly port: number;
  readonly region: string;
  readonly availabilityZone: string;
  readonly state: MemberState;
}
