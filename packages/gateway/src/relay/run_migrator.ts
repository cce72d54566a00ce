import type { Logger } from "@jujubeladder/logger";
import type { Metrics } from "@jujubeladder/metrics";
import { monotonicMs, sleep } from "@jujubeladder/utils";
import { chooseMigrationTarget } from "../decisions/choose_migration_target.js";
import { estimatePeakTokens } from "../decisions/estimate_peak_tokens.js";
import type { RunnerCandidate } from "../decisions/runner_candidate.js";
import type { EngineControl } from "../model/engine_control.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { KvCacheRef } from "../model/kv_cache_ref.js";
import type { RunnerDirectory } from "../views/runner_directory.js";
import type { PlacementScheduler } from "./placement_scheduler.js";
import type { RequestContext } from "./request_context.js";
import type { AbandonedRun } from "./abandoned_run.js";
import type { RetryBooker } from "./retry_booker.js";
import { RunMigration } from "./run_migration.js";
import { stopAbandonedRun } from "./stop_abandoned_run.js";

/** A leaving runner gives about 2 s of notice, part of which has passed. */
const MIN_NOTICE_MS = 1_400;
/** Age of the state that engines report. */
const REPORT_LAG_MS = 550;
const REPORT_TIMEOUT_MS = 250;

/** Dependencies of the migrator. */
interface MigratorDependencies {
  readonly control: EngineControl;
  readonly scheduler: PlacementScheduler;
  readonly directory: RunnerDirectory;
  readonly retries: RetryBooker;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Migrates this instance's runs away from leaving engines. */
export class RunMigrator {
  readonly #dependencies: MigratorDependencies;
  readonly #migrations = new Map<string, Set<RunMigration>>();

  constructor(dependencies: MigratorDependencies) {
    this.#dependencies = dependencies;
    dependencies.directory.events.on("leaving", (runner) => {
      void this.#migrateRuns(runner);
    });
  }

  /**
   * Tracks a run that may have to migrate; undefined if its engine does not
   * support migration.
   */
  track(
    context: RequestContext,
    runner: GatewayRunner,
  ): RunMigration | undefined {
    const { service, request } = context;
    const { engine } = service;
    if (!engine?.canMigrate) return undefined;
    const { control, scheduler, directory, retries, logger } =
      this.#dependencies;
    const migration = new RunMigration({
      source: runner,
      requestId: request.requestId,
      control,
      logger,
      bookResumption: retries.createBooker(context, "resumption"),
      findPresence: () => directory.findPresence(runner),
      targets: {
        choose: (refusedRunnerIds) =>
          chooseMigrationTarget(
            this.#listTargets({
              service,
              excludedRunnerIds: new Set(),
              softwareVersion: runner.softwareVersion,
              findAllowedRegions: context.findAllowedRegions,
            }),
            {
              requestId: request.requestId,
              needTokens: request.work
                ? estimatePeakTokens(request.work, 0)
                : 0,
              source: runner,
              sourceTokens: scheduler.getLoad(runner.runnerId).peakTokens,
              engine,
              refusedRunnerIds,
            },
          ),
        reserve: (target) => {
          const placement = scheduler.reserve(target.runnerId, request.work);
          placement.markPrefillDone();
          return () => {
            scheduler.release(placement);
          };
        },
      },
    });
    const migrations = this.#migrations.get(runner.runnerId) ?? new Set();
    migrations.add(migration);
    this.#migrations.set(runner.runnerId, migrations);
    return migration;
  }

  /**
   * Migrates a run on if the runner on which it resumes has come to leave since
   * its KV cache was copied there.
   */
  startIfLeaving(runner: GatewayRunner, migration: RunMigration): void {
    if (!this.#dependencies.directory.isLeaving(runner.runnerId)) return;
    this.#dependencies.metrics.count("moves");
    migration.start(monotonicMs() + MIN_NOTICE_MS);
  }

  /** Stops a run whose stream has ended before it starts anew on `target`. */
  async stop(
    { service, request }: RequestContext,
    run: AbandonedRun,
    restart: { readonly target: GatewayRunner; readonly maxWaitMs: number },
  ): Promise<void> {
    if (!service.engine?.canMigrate) return;
    const { requestId } = request;
    await stopAbandonedRun(this.#dependencies, {
      ...run,
      ...restart,
      requestId,
    });
  }

  /** Frees the copy of a run that does not resume. */
  async dropCopy(cacheRef: KvCacheRef): Promise<void> {
    await this.#dependencies.control.dropCopy(cacheRef);
  }

  /** Lists the runners with tracked runs. */
  listSources(): readonly GatewayRunner[] {
    const { directory } = this.#dependencies;
    return [...this.#migrations.keys()].flatMap(
      (runnerId) => directory.find(runnerId) ?? [],
    );
  }

  /** Stops tracking a run that ended here or resumes on another runner. */
  untrack(runner: GatewayRunner, migration: RunMigration): void {
    migration.finish();
    const migrations = this.#migrations.get(runner.runnerId);
    migrations?.delete(migration);
    if (migrations?.size === 0) this.#migrations.delete(runner.runnerId);
  }

  // A run can only resume where its copy is, so that it must not go to a runner
  // that limits its rate if there are others.
  #listTargets(
    requirements: Parameters<PlacementScheduler["listCandidates"]>[0],
  ): readonly RunnerCandidate[] {
    const { scheduler } = this.#dependencies;
    const candidates = scheduler.listCandidates(requirements);
    const unlimited = candidates.filter(
      ({ runner }) => !scheduler.isLimited(runner),
    );
    return unlimited.length > 0 ? unlimited : candidates;
  }

  async #migrateRuns(source: GatewayRunner): Promise<void> {
    const migrations = [...(this.#migrations.get(source.runnerId) ?? [])];
    if (migrations.length === 0) return;
    const noticedAtMs = monotonicMs();
    this.#dependencies.metrics.count("moves", migrations.length);
    for (const migration of migrations)
      migration.start(noticedAtMs + MIN_NOTICE_MS);
    // Reports lag, so an earlier one would not show that the runner is leaving.
    await sleep(REPORT_LAG_MS);
    const readAtMs = monotonicMs();
    const report = await this.#dependencies.control.readReport(
      source,
      REPORT_TIMEOUT_MS,
    );
    const { exitsInMs } = report;
    this.#dependencies.logger.info("runner_leaves_in", {
      runner: source.runnerId,
      leaves_in_ms: exitsInMs,
      since_notice_ms: readAtMs - noticedAtMs,
      runs: migrations.length,
    });
    if (exitsInMs === undefined) return;
    // The remaining time is as old as the rest of the report.
    const exit = {
      earliestMs: readAtMs - REPORT_LAG_MS + exitsInMs,
      latestMs: monotonicMs() + exitsInMs,
    };
    for (const migration of migrations) migration.setSourceExit(exit);
  }
}
