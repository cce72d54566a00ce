import type { Runner } from "@jujubeladder/types";

/** A runner with the properties that placement uses. */
export interface GatewayRunner extends Runner {
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Unix time of its start as reported by the runner; 0 if unknown. */
  readonly startedAtMs: number;
  /**
   * Version of its software, not of its weights; empty if a peer of an earlier
   * version told of it.
   */
  readonly softwareVersion: string;
  /** When it is warmed up, on the monotonic clock; it is slow until then. */
  readonly warmAtMs: number;
}
