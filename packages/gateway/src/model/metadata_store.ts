import type { Result } from "@jujubeladder/types";
import type { GatewayRunner } from "./gateway_runner.js";
import type { RunnerChange } from "./runner_change.js";
import type { WatchOutcome } from "./watch_outcome.js";

/**
 * The store that operators and runners write to. It can only be read. `asOf`
 * is the store's revision; errors say why a call failed.
 */
export interface MetadataStore {
  /** `text` is absent when there is no configuration yet. */
  readConfig(options: {
    readonly timeoutMs: number;
  }): Promise<
    Result<
      { readonly text?: string | undefined; readonly asOf: number },
      string
    >
  >;
  /** Waits for a configuration that is newer than `asOf`. */
  watchConfig(options: {
    readonly asOf: number;
    readonly waitMs: number;
    readonly timeoutMs: number;
  }): Promise<Result<WatchOutcome<string>, string>>;
  listRunners(options: {
    readonly timeoutMs: number;
  }): Promise<
    Result<
      { readonly runners: readonly GatewayRunner[]; readonly asOf: number },
      string
    >
  >;
  /** Waits for changes of the list that are newer than `asOf`. */
  watchRunners(options: {
    readonly asOf: number;
    readonly waitMs: number;
    readonly timeoutMs: number;
  }): Promise<Result<WatchOutcome<readonly RunnerChange[]>, string>>;
}
