import type { Result } from "@jujubeladder/types";
import type { EvacuationUpdate } from "./evacuation_update.js";
import type { GatewayRunner } from "./gateway_runner.js";
import type { RunnerChange } from "./runner_change.js";
import type { RunnerHistory } from "./runner_history.js";
import type { StorePosition } from "./store_position.js";
import type { WatchOutcome } from "./watch_outcome.js";

/**
 * Read-only client of the store that operators and runners write to. `asOf` is
 * a position in the store's history; errors describe why a call failed.
 */
export interface MetadataStore {
  /** The latest era that the store itself has told; 0 before. */
  readonly era: number;
  /**
   * For how long that era has been known; infinite for a store that tells none,
   * and 0 before the first answer.
   */
  readonly eraAgeMs: number;
  /**
   * Records an era that a peer tells. A greater one voids the positions of
   * earlier eras, until a read that is sent afterwards shows otherwise.
   */
  recordPeerEra(era: number, peerId: string): void;
  /**
   * Calls the listener for each read of the configuration that also tells which
   * availability zones are evacuated; absent if the operator evacuates none.
   */
  onEvacuations?(listener: (update: EvacuationUpdate) => void): void;
  /** Reads the configuration; `text` is absent if there is none yet. */
  readConfig(options: {
    readonly timeoutMs: number;
  }): Promise<
    Result<
      { readonly text?: string | undefined; readonly asOf: StorePosition },
      string
    >
  >;
  /** Long poll for a configuration newer than `asOf`. */
  watchConfig(options: {
    readonly asOf: StorePosition;
    readonly waitMs: number;
    readonly timeoutMs: number;
  }): Promise<Result<WatchOutcome<string>, string>>;
  listRunners(options: { readonly timeoutMs: number }): Promise<
    Result<
      {
        readonly runners: readonly GatewayRunner[];
        readonly asOf: StorePosition;
      },
      string
    >
  >;
  /**
   * Reads the changes to the list of runners since `asOf` without waiting for any,
   * also while a long poll is under way; absent if the store tells none.
   */
  readRunnerChanges?(options: {
    readonly asOf: StorePosition;
    readonly timeoutMs: number;
  }): Promise<Result<WatchOutcome<readonly RunnerChange[]>, string>>;
  /**
   * Reads the changes to the list of runners up to `asOf`, as far back as the
   * store keeps them; absent if it keeps none.
   */
  readRunnerHistory?(options: {
    readonly asOf: StorePosition;
    readonly timeoutMs: number;
  }): Promise<Result<RunnerHistory, string>>;
  /** Long poll for changes to the list of runners since `asOf`. */
  watchRunners(options: {
    readonly asOf: StorePosition;
    readonly waitMs: number;
    readonly timeoutMs: number;
  }): Promise<Result<WatchOutcome<readonly RunnerChange[]>, string>>;
}
