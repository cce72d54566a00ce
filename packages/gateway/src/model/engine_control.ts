import type { CopyOutcome } from "./copy_outcome.js";
import type { EngineReport } from "./engine_report.js";
import type { GatewayRunner } from "./gateway_runner.js";
import type { KvCacheRef } from "./kv_cache_ref.js";
import type { NoticeOrigin } from "./notice_origin.js";
import type { RunnerNotice } from "./runner_notice.js";
import type { RunnerStart } from "./runner_start.js";
import type { HttpConnection } from "../transport/http_connection.js";

/** Control operations of model engines. */
export interface EngineControl {
  /** Calls the listener for each response of an engine to an order or poll. */
  onNotice(
    listener: (
      runner: GatewayRunner,
      notice: RunnerNotice,
      origin: NoticeOrigin,
    ) => void,
  ): void;
  /**
   * Copies the KV cache of a run on `source` to `target`. With `isFinal` the
   * run stops first and its stream ends early.
   */
  copyRun(
    source: GatewayRunner,
    copy: {
      readonly requestId: string;
      readonly target: GatewayRunner;
      readonly isFinal: boolean;
      readonly timeoutMs: number;
    },
  ): Promise<CopyOutcome>;
  /**
   * Reads an engine's report of its own state. An engine that does not respond
   * counts as not leaving.
   */
  readReport(runner: GatewayRunner, timeoutMs: number): Promise<EngineReport>;
  /**
   * Asks the process behind a connection when it started, and leaves the connection
   * open for a request to the same process unless there is no response.
   */
  readStart(
    connection: HttpConnection,
    timeoutMs: number,
  ): Promise<RunnerStart>;
  /** Frees a copy on both the source and the target. */
  dropCopy(cacheRef: KvCacheRef): Promise<void>;
}
