import { monotonicMs } from "@jujubeladder/utils";
import type { GatewayRunner } from "../model/gateway_runner.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";

/** A runner that wants a longer pause states it again in its next response. */
const MAX_PAUSE_MS = 86_400_000;
/**
 * Runs that may resume on a runner during one pause: a run whose KV cache is
 * there can't go on anywhere else.
 */
const MAX_RESUMPTIONS = 2;

interface Pause {
  readonly endsAtMs: number;
  resumptionCount: number;
}

/**
 * Pauses that runners ask of this instance, by incarnation. A pause names one
 * instance only and is not a failure of the runner.
 */
export class RunnerPauses {
  readonly #pauses = new Map<string, Pause>();

  /** True if no pause is known, which may have ended. */
  get isEmpty(): boolean {
    return this.#pauses.size === 0;
  }

  /**
   * Records a pause, which does not shorten one in progress. Returns its length
   * within the limit if it begins now, or undefined if it goes on.
   */
  record(runner: GatewayRunner, statedMs: number): number | undefined {
    this.#evictEnded();
    const pauseMs = Math.min(statedMs, MAX_PAUSE_MS);
    const incarnationId = toIncarnationId(runner);
    const known = this.#pauses.get(incarnationId);
    const endsAtMs = monotonicMs() + pauseMs;
    this.#pauses.set(incarnationId, {
      endsAtMs: Math.max(endsAtMs, known?.endsAtMs ?? 0),
      resumptionCount: known?.resumptionCount ?? 0,
    });
    return known ? undefined : pauseMs;
  }

  isPaused(runner: GatewayRunner): boolean {
    return this.#pauses.size > 0 && this.#leftMs(runner) > 0;
  }

  /** Admits a run that resumes on the runner, a few in each pause. */
  admitResumption(runner: GatewayRunner): boolean {
    if (!this.isPaused(runner)) return true;
    const pause = this.#pauses.get(toIncarnationId(runner));
    if (!pause || pause.resumptionCount >= MAX_RESUMPTIONS) return false;
    pause.resumptionCount += 1;
    return true;
  }

  /**
   * Time until the first of the runners' pauses ends; undefined unless all
   * runners, and at least one, are paused.
   */
  findEarliestEndMs(runners: readonly GatewayRunner[]): number | undefined {
    if (this.#pauses.size === 0 || runners.length === 0) return undefined;
    const leftMs = Math.min(...runners.map((runner) => this.#leftMs(runner)));
    return leftMs > 0 ? leftMs : undefined;
  }

  #leftMs(runner: GatewayRunner): number {
    const pause = this.#pauses.get(toIncarnationId(runner));
    return pause ? pause.endsAtMs - monotonicMs() : 0;
  }

  #evictEnded(): void {
    const nowMs = monotonicMs();
    for (const [incarnationId, { endsAtMs }] of this.#pauses) {
      if (endsAtMs <= nowMs) this.#pauses.delete(incarnationId);
    }
  }
}
