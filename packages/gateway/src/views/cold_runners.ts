import { monotonicMs } from "@jujubeladder/utils";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { RunnerLoad } from "../model/runner_load.js";
import type { RoutedService } from "../model/routed_service.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";

/** A longer time is taken for a fault of the runner that states it. */
const MAX_COLD_MS = 60_000;
/** A runner that is still slow after this stays slow, which its load shows. */
const MAX_WARMUP_MS = 10_000;
/** Share of its memory at which a runner has shown that it keeps up. */
const WARM_CACHE_SHARE = 0.5;

/**
 * Which runners are cold: by their entry, by their own word, because they
 * started while this instance was running, or because their availability zone
 * has just been taken back from an evacuation. Also which engines warm up, that
 * is, have not shown since then that they keep up.
 */
export class ColdRunners {
  /** When each incarnation is warm by its own word. */
  readonly #warmAtMs = new Map<string, number>();
  readonly #startedAtMs = new Map<string, number>();
  /** When incarnations were last seen to keep up. */
  readonly #warmSinceMs = new Map<string, number>();
  readonly #zoneReturnedAtMs = new Map<string, number>();

  /** Records the time for which a runner says that it stays cold. */
  recordStatement(runner: GatewayRunner, coldMs: number): void {
    const incarnationId = toIncarnationId(runner);
    this.#evictOld();
    this.#warmAtMs.set(
      incarnationId,
      monotonicMs() + Math.min(coldMs, MAX_COLD_MS),
    );
  }

  /** Records that an incarnation was listed for the first time. */
  recordStart(runner: GatewayRunner): void {
    this.#evictOld();
    this.#startedAtMs.set(toIncarnationId(runner), monotonicMs());
  }

  recordZoneReturn(availabilityZone: string): void {
    this.#zoneReturnedAtMs.set(availabilityZone, monotonicMs());
  }

  /** True only for services whose configuration limits cold runners. */
  isCold(runner: GatewayRunner, service: RoutedService): boolean {
    const { coldStart } = service;
    if (!coldStart) return false;
    const nowMs = monotonicMs();
    if (runner.warmAtMs > nowMs) return true;
    const incarnationId = toIncarnationId(runner);
    if ((this.#warmAtMs.get(incarnationId) ?? 0) > nowMs) return true;
    const sinceMs = Math.max(
      this.#startedAtMs.get(incarnationId) ?? Number.NEGATIVE_INFINITY,
      this.#zoneReturnedAtMs.get(runner.availabilityZone) ??
        Number.NEGATIVE_INFINITY,
    );
    return nowMs - sinceMs < coldStart.durationMs;
  }

  /**
   * True for an engine that has started or returned lately and has not shown yet
   * that it keeps up, by the load that it is at work on.
   */
  isWarmingUp(
    runner: GatewayRunner,
    service: RoutedService,
    load: RunnerLoad,
  ): boolean {
    const { coldStart, engine } = service;
    if (!coldStart || !engine) return false;
    const incarnationId = toIncarnationId(runner);
    const startedAtMs = this.#startedAtMs.get(incarnationId);
    const zoneReturnedAtMs = this.#zoneReturnedAtMs.get(
      runner.availabilityZone,
    );
    const sinceMs = Math.max(
      startedAtMs ?? Number.NEGATIVE_INFINITY,
      zoneReturnedAtMs ?? Number.NEGATIVE_INFINITY,
    );
    const hasCaughtUp = (this.#warmSinceMs.get(incarnationId) ?? 0) > sinceMs;
    if (hasCaughtUp || monotonicMs() - sinceMs >= MAX_WARMUP_MS) return false;
    const begunTokens = load.peakTokens - load.unreadTokens;
    if (begunTokens < engine.kvCacheTokens * WARM_CACHE_SHARE) return true;
    this.#warmSinceMs.set(incarnationId, monotonicMs());
    return false;
  }

  #evictOld(): void {
    const nowMs = monotonicMs();
    for (const [incarnationId, warmAtMs] of this.#warmAtMs) {
      if (warmAtMs <= nowMs) this.#warmAtMs.delete(incarnationId);
    }
    for (const [incarnationId, startedAtMs] of this.#startedAtMs) {
      if (startedAtMs < nowMs - MAX_COLD_MS)
        this.#startedAtMs.delete(incarnationId);
    }
    for (const [incarnationId, sinceMs] of this.#warmSinceMs) {
      if (sinceMs < nowMs - MAX_COLD_MS)
        this.#warmSinceMs.delete(incarnationId);
    }
  }
}
