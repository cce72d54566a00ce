import type { Result } from "@jujubeladder/types";
import type { RelayedRunners } from "./relayed_runners.js";

/** A peer that reads the store; errors say why it is of no use now. */
export interface ViewRelay {
  readonly instanceId: string;
  /** Waits until the peer has a newer configuration than `version`. */
  watchConfig(options: {
    readonly version: number;
    readonly waitMs: number;
  }): Promise<
    Result<
      {
        readonly version: number;
        /** Age of the proof that this is the newest version. */
        readonly ageMs: number;
      },
      string
    >
  >;
  /** Waits for changes beyond `asOf`; 0 asks for the list. */
  watchRunners(options: {
    readonly asOf: number;
    readonly waitMs: number;
  }): Promise<Result<RelayedRunners, string>>;
}
