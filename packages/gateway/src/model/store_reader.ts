import type { Result } from "@jujubeladder/types";
import type { RunnerListUpdate } from "./runner_list_update.js";
import type { StorePosition } from "./store_position.js";

/**
 * A peer that reads the store for others; errors describe why it can't be used.
 */
export interface StoreReader {
  readonly instanceId: string;
  /** Long poll for a configuration newer than `version`. */
  watchConfig(options: {
    readonly version: number;
    readonly waitMs: number;
  }): Promise<
    Result<
      {
        readonly version: number;
        /** The document's hash; undefined if the peer does not tell it. */
        readonly hash?: string | undefined;
        /**
         * Time since the store confirmed that this version is the latest;
         * undefined if that is not known, as after a restore.
         */
        readonly ageMs: number | undefined;
        /** Time since the store was read, whatever it held. */
        readonly readAgeMs: number;
      },
      string
    >
  >;
  /** Long poll for changes since `asOf`; without one the full list is returned. */
  watchRunners(options: {
    readonly asOf: StorePosition | undefined;
    readonly waitMs: number;
  }): Promise<Result<RunnerListUpdate, string>>;
}
