import type { Logger } from "@jujubeladder/logger";
import type { Metrics } from "@jujubeladder/metrics";
import { monotonicMs, sleep } from "@jujubeladder/utils";
import { chooseMoveTarget } from "../decisions/choose_move_target.js";
import { estimateNeed } from "../decisions/estimate_need.js";
import type { EngineControl } from "../model/engine_control.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { RunnerDirectory } from "../views/runner_directory.js";
import type { PlacementDesk } from "./placement_desk.js";
import type { RequestContext } from "./request_context.js";
import { RunMove } from "./run_move.js";

/** Runners give about two seconds of notice, of which some has passed. */
const LEAST_NOTICE_MS = 1_400;
/** Engines report what was so this long ago. */
const REPORT_LAG_MS = 550;
const REPORT_TIMEOUT_MS = 250;

/** The parts that a mover works with. */
interface MoverParts {
  readonly control: EngineControl;
  readonly desk: PlacementDesk;
  readonly directory: RunnerDirectory;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Moves this instance's runs away from engines that leave. */
export class RunMover {
  readonly #parts: MoverParts;
  readonly #moves = new Map<string, Set<RunMove>>();

  constructor(parts: MoverParts) {
    this.#parts = parts;
    parts.directory.events.on("leaving", (runner) => {
      void this.#moveRunsAway(runner);
    });
  }

  /** Watches a run that may have to move; undefined if it cannot. */
  watch(context: RequestContext, runner: GatewayRunner): RunMove | undefined {
    const { service, request } = context;
    const { engine } = service;
    if (!engine?.canMove) return undefined;
    const { control, desk, logger } = this.#parts;
    const move = new RunMove({
      source: runner,
      requestId: request.requestId,
      control,
      logger,
      targets: {
        choose: (refused) =>
          chooseMoveTarget(
            desk.listCandidates({ service, excludedRunnerIds: new Set() }),
            {
              requestId: request.requestId,
              needTokens: request.work ? estimateNeed(request.work, 0) : 0,
              source: runner,
              sourceTokens: desk.findLoad(runner.runnerId).peakTokens,
              engine,
              refused,
            },
          ),
        hold: (target) => {
          const placement = desk.take(target.runnerId, request.work);
          placement.noteRead();
          return () => {
            desk.release(placement);
          };
        },
      },
    });
    const moves = this.#moves.get(runner.runnerId) ?? new Set();
    moves.add(move);
    this.#moves.set(runner.runnerId, moves);
    return move;
  }

  /** Runners that have runs which may have to move. */
  listSources(): readonly GatewayRunner[] {
    const { directory } = this.#parts;
    return [...this.#moves.keys()].flatMap(
      (runnerId) => directory.find(runnerId) ?? [],
    );
  }

  /** The run has ended here, or goes on elsewhere. */
  forget(runner: GatewayRunner, move: RunMove): void {
    move.finish();
    const moves = this.#moves.get(runner.runnerId);
    moves?.delete(move);
    if (moves?.size === 0) this.#moves.delete(runner.runnerId);
  }

  async #moveRunsAway(source: GatewayRunner): Promise<void> {
    const moves = [...(this.#moves.get(source.runnerId) ?? [])];
    if (moves.length === 0) return;
    const noticedAtMs = monotonicMs();
    this.#parts.metrics.count("moves", moves.length);
    for (const move of moves) move.start(noticedAtMs + LEAST_NOTICE_MS);
    // Reports lag, so an earlier one would not know that the runner leaves.
    await sleep(REPORT_LAG_MS);
    const readAtMs = monotonicMs();
    const report = await this.#parts.control.readReport(
      source,
      REPORT_TIMEOUT_MS,
    );
    const { leavesInMs } = report;
    this.#parts.logger.info("runner_leaves_in", {
      runner: source.runnerId,
      leaves_in_ms: leavesInMs,
      since_notice_ms: readAtMs - noticedAtMs,
      runs: moves.length,
    });
    if (leavesInMs === undefined) return;
    // The report's time left is as old as the rest of it.
    const goneAtMs = readAtMs - REPORT_LAG_MS + leavesInMs;
    for (const move of moves) move.setGoneAt(goneAtMs);
  }
}
