import type { Logger } from "@jujubeladder/logger";
import type { Metrics } from "@jujubeladder/metrics";
import { monotonicMs } from "@jujubeladder/utils";
import type { EngineControl } from "../model/engine_control.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { NoticeOrigin } from "../model/notice_origin.js";
import type { RunnerNotice } from "../model/runner_notice.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";
import type { ConnectionPool } from "../transport/connection_pool.js";
import type { ColdRunners } from "../views/cold_runners.js";
import type { RunnerDirectory } from "../views/runner_directory.js";
import type { RunnerPauses } from "../views/runner_pauses.js";
import type { RunnerRateLimits } from "../views/runner_rate_limits.js";

/** Dependencies of the notices. */
interface NoticeDependencies {
  readonly directory: RunnerDirectory;
  readonly pauses: RunnerPauses;
  readonly coldRunners: ColdRunners;
  readonly rateLimits: RunnerRateLimits;
  readonly control: EngineControl;
  readonly pool: ConnectionPool;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Heeds what runners say of themselves, in whichever response they say it. */
export class RunnerNotices {
  readonly #dependencies: NoticeDependencies;

  constructor(dependencies: NoticeDependencies) {
    this.#dependencies = dependencies;
    const { directory, control, pool, metrics } = dependencies;
    control.onNotice((runner, notice, origin) => {
      this.heed(runner, notice, origin);
    });
    directory.events.on("leaving", (runner) => {
      metrics.count("runners_leaving");
      pool.closeIdleOf(runner.runnerId);
    });
    directory.events.on("returned", () => {
      metrics.count("runners_returned");
    });
  }

  /** Heeds a notice of the incarnation that the request was sent to. */
  heed(
    runner: GatewayRunner,
    { isLeaving, pauseMs: statedMs, coldMs, rate }: RunnerNotice,
    origin: NoticeOrigin,
  ): void {
    const { source, sentAtMs } = origin;
    const { directory, pauses, rateLimits, metrics, logger } =
      this.#dependencies;
    const incarnationId = toIncarnationId(runner);
    if (isLeaving)
      directory.markLeaving(incarnationId, source, monotonicMs() - sentAtMs);
    if (coldMs !== undefined)
      this.#dependencies.coldRunners.recordStatement(runner, coldMs);
    if (rate) rateLimits.record(runner, rate, origin);
    if (statedMs === undefined) return;
    const pauseMs = pauses.record(runner, statedMs);
    if (pauseMs === undefined) return;
    metrics.count("runner_pauses");
    logger.info("runner_paused", {
      runner: incarnationId,
      service: runner.serviceId,
      source,
      pause_ms: pauseMs,
    });
  }

  /**
   * Returns why a request that was placed on a runner must not be written now,
   * as the runner may have spoken since. A run that resumes from a KV cache on
   * the runner can't go on anywhere else.
   */
  findObjection(
    runner: GatewayRunner,
    { isResumption }: { readonly isResumption: boolean },
  ): string | undefined {
    const { directory, pauses } = this.#dependencies;
    if (isResumption)
      return pauses.admitResumption(runner) ? undefined : "the runner pauses";
    if (directory.isLeaving(runner.runnerId)) return "the runner leaves";
    return pauses.isPaused(runner) ? "the runner pauses" : undefined;
  }
}
