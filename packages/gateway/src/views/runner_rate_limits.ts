import Emittery from "emittery";
import type { Logger } from "@jujubeladder/logger";
import { monotonicMs } from "@jujubeladder/utils";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { NoticeOrigin } from "../model/notice_origin.js";
import type { RateStatement } from "../model/rate_statement.js";
import type { SharedRateLimit } from "../model/shared_rate_limit.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";

/**
 * What was stated longer ago is forgotten, ends too: a peer may tell of a limit
 * that has ended since for as long.
 */
const MAX_AGE_MS = 120_000;
/** Limits that a peer can make this instance remember. */
const MAX_LIMITS = 20_000;

interface Limit {
  readonly requestsPerSecond: number;
  /** When the runner last stated the limit, or ended it. */
  readonly statedAtMs: number;
  readonly hasEnded: boolean;
}

/**
 * The request rates to which runners limit all instances together, by
 * incarnation. A limit holds until a response to a later request states none.
 */
export class RunnerRateLimits {
  readonly events = new Emittery<{
    /** A runner has told this instance of another limit, or of its end. */
    changed: GatewayRunner;
  }>();
  readonly #logger: Logger;
  readonly #limits = new Map<string, Limit>();

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** Number of runners with a limit. */
  get size(): number {
    let count = 0;
    for (const { hasEnded } of this.#limits.values()) if (!hasEnded) count += 1;
    return count;
  }

  /** True if no limit is known. */
  get isEmpty(): boolean {
    return this.#limits.size === 0;
  }

  /** Records what a runner states in a response to this instance. */
  record(
    runner: GatewayRunner,
    statement: RateStatement,
    { source, sentAtMs }: NoticeOrigin,
  ): void {
    const incarnationId = toIncarnationId(runner);
    const known = this.#limits.get(incarnationId);
    switch (statement.type) {
      case "limited":
        this.#set(incarnationId, {
          requestsPerSecond: statement.requestsPerSecond,
          statedAtMs: monotonicMs(),
          hasEnded: false,
        });
        if (
          known?.requestsPerSecond === statement.requestsPerSecond &&
          !known.hasEnded
        )
          return;
        this.#log("runner_rate_limited", incarnationId, source);
        void this.events.emit("changed", runner);
        return;
      case "unlimited": {
        // A request that was sent before the statement may be answered late.
        const isEnd =
          source === "answer" &&
          known &&
          !known.hasEnded &&
          sentAtMs > known.statedAtMs;
        if (!isEnd) return;
        this.#set(incarnationId, {
          ...known,
          statedAtMs: monotonicMs(),
          hasEnded: true,
        });
        this.#log("runner_rate_limit_ended", incarnationId, source);
        void this.events.emit("changed", runner);
        return;
      }
      case "unreadable":
        this.#logger.warn("runner_rate_limit_refused", {
          runner: incarnationId,
          source,
        });
    }
  }

  /** Merges what a peer has heard; the later statement counts. */
  mergePeer(shared: SharedRateLimit): void {
    const { incarnationId, requestsPerSecond, ageMs, hasEnded } = shared;
    const known = this.#limits.get(incarnationId);
    const statedAtMs = monotonicMs() - ageMs;
    if (ageMs > MAX_AGE_MS || (known && known.statedAtMs >= statedAtMs)) return;
    if (!known && (hasEnded || this.#limits.size >= MAX_LIMITS)) return;
    this.#set(incarnationId, { requestsPerSecond, statedAtMs, hasEnded });
    const isChanged =
      known?.hasEnded !== hasEnded ||
      known.requestsPerSecond !== requestsPerSecond;
    if (!isChanged) return;
    const event = hasEnded ? "runner_rate_limit_ended" : "runner_rate_limited";
    this.#log(event, incarnationId, "peer");
  }

  /** The limit of one incarnation, in force or ended lately. */
  find(incarnationId: string): SharedRateLimit | undefined {
    const limit = this.#limits.get(incarnationId);
    return limit && toShared(incarnationId, limit);
  }

  /** Lists up to `maxCount` limits for a peer, the latest statements first. */
  listLatest(maxCount: number): readonly SharedRateLimit[] {
    this.#evictOld();
    return [...this.#limits]
      .slice(-maxCount)
      .reverse()
      .map(([incarnationId, limit]) => toShared(incarnationId, limit));
  }

  #set(incarnationId: string, limit: Limit): void {
    this.#evictOld();
    this.#limits.delete(incarnationId);
    this.#limits.set(incarnationId, limit);
  }

  #log(
    event: "runner_rate_limited" | "runner_rate_limit_ended",
    incarnationId: string,
    source: NoticeOrigin["source"] | "peer",
  ): void {
    const limit = this.#limits.get(incarnationId);
    this.#logger.info(event, {
      runner: incarnationId,
      requests_per_second: limit?.requestsPerSecond,
      source,
    });
  }

  #evictOld(): void {
    const nowMs = monotonicMs();
    for (const [incarnationId, { statedAtMs }] of this.#limits) {
      if (nowMs - statedAtMs > MAX_AGE_MS) this.#limits.delete(incarnationId);
    }
  }
}

function toShared(incarnationId: string, limit: Limit): SharedRateLimit {
  const { requestsPerSecond, statedAtMs, hasEnded } = limit;
  const ageMs = monotonicMs() - statedAtMs;
  return { incarnationId, requestsPerSecond, ageMs, hasEnded };
}
