import type { Runner } from "@jujubeladder/types";

/** A runner with what placement must know of it. */
export interface GatewayRunner extends Runner {
  /** Requests that it works on at once. */
  readonly slots: number;
  /** Unix time of its start, as it says; 0 if it does not. */
  readonly startedAtMs: number;
  /** When it stops being slow after its start, on the monotonic clock. */
  readonly warmAtMs: number;
}
