import { computeColdRate } from "./compute_cold_rate.js";

/**
 * How long a turn can be used. Turns that are not used expire, since a whole
 * fleet could otherwise use those of many seconds at one moment.
 */
const TURN_MS = 500;
/** A turn may be used at its end, and the second of the limit begin there. */
const WINDOW_S = 1 + TURN_MS / 1_000;
/** Longer than a runner is asked for while it is cold. */
const MAX_AGE_MS = 60_000;
const MS_PER_SECOND = 1_000;

interface Turns {
  readonly phaseMs: number;
  usedAtMs: number;
  askedAtMs: number;
}

/**
 * Limits what all instances together send to a cold runner, without messages
 * and without clocks that agree: each instance takes turns of its own, whose
 * phase is random, as all of them see a runner appear at the same moment. The
 * load that it answers is a zone that returns to a fleet with a backlog.
 */
export class ColdRunnerLimiter {
  readonly #random: () => number;
  readonly #countInstances: () => number | undefined;
  readonly #turns = new Map<string, Turns>();

  /** `countInstances` returns undefined while the fleet's size is not known. */
  constructor(
    countInstances: () => number | undefined,
    random: () => number = Math.random,
  ) {
    this.#countInstances = countInstances;
    this.#random = random;
  }

  /**
   * True if this instance may send a request to the runner now. `limit` is the
   * number of requests that all instances may send it in a second.
   */
  mayTake(incarnationId: string, limit: number, nowMs: number): boolean {
    return this.#findTurn(incarnationId, limit, nowMs) !== undefined;
  }

  /** Uses the turn for a request; false if there is none. */
  take(incarnationId: string, limit: number, nowMs: number): boolean {
    const turns = this.#findTurn(incarnationId, limit, nowMs);
    if (!turns) return false;
    turns.usedAtMs = nowMs;
    return true;
  }

  // Forgets what has not been asked for since, as runners come and go.
  #evictOld(nowMs: number): void {
    for (const [incarnationId, { askedAtMs }] of this.#turns) {
      if (nowMs - askedAtMs > MAX_AGE_MS) this.#turns.delete(incarnationId);
    }
  }

  #findTurn(
    incarnationId: string,
    limit: number,
    nowMs: number,
  ): Turns | undefined {
    const instances = this.#countInstances();
    if (instances === undefined) return undefined;
    const rate = computeColdRate(limit, WINDOW_S);
    const intervalMs = (instances / rate) * MS_PER_SECOND;
    if (!Number.isFinite(intervalMs)) return undefined;
    const known = this.#turns.get(incarnationId);
    const turns = known ?? {
      phaseMs: nowMs + this.#random() * intervalMs,
      usedAtMs: Number.NEGATIVE_INFINITY,
      askedAtMs: nowMs,
    };
    turns.askedAtMs = nowMs;
    if (!known) {
      this.#evictOld(nowMs);
      this.#turns.set(incarnationId, turns);
    }
    const turn = Math.floor((nowMs - turns.phaseMs) / intervalMs);
    const turnAtMs = turns.phaseMs + turn * intervalMs;
    // Turns get longer as the fleet is found to be larger.
    const isUsed = turns.usedAtMs >= turnAtMs;
    const isOver = nowMs - turnAtMs >= TURN_MS;
    return turn < 0 || isUsed || isOver ? undefined : turns;
  }
}
