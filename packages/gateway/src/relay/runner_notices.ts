import type { Metrics } from "@jujubeladder/metrics";
import { monotonicMs } from "@jujubeladder/utils";
import type { EngineControl } from "../model/engine_control.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { NoticeOrigin } from "../model/notice_origin.js";
import type { RunnerNotice } from "../model/runner_notice.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";
import type { ConnectionPool } from "../transport/connection_pool.js";
import type { RunnerDirectory } from "../views/runner_directory.js";

/** Dependencies of the notices. */
interface NoticeDependencies {
  readonly directory: RunnerDirectory;
  readonly control: EngineControl;
  readonly pool: ConnectionPool;
  readonly metrics: Metrics;
}

/** Heeds what runners say of themselves, in whichever response they say it. */
export class RunnerNotices {
  readonly #directory: RunnerDirectory;

  constructor({ directory, control, pool, metrics }: NoticeDependencies) {
    this.#directory = directory;
    control.onNotice((runner, notice, origin) => {
      this.heed(runner, notice, origin);
    });
    directory.events.on("leaving", (runner) => {
      metrics.count("runners_leaving");
      pool.closeIdleOf(runner.runnerId);
    });
  }

  /** Heeds a notice of the incarnation that the request was sent to. */
  heed(
    runner: GatewayRunner,
    notice: RunnerNotice,
    { source, sentAtMs }: NoticeOrigin,
  ): void {
    if (!notice.isLeaving) return;
    const ageMs = monotonicMs() - sentAtMs;
    this.#directory.markLeaving(toIncarnationId(runner), source, ageMs);
  }
}
