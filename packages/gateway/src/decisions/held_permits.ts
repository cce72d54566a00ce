/** A permit that is not used for this long after it is due is void. */
const VALIDITY_MS = 500;
/** A placement that is not written by then has come to nothing. */
const CLAIM_TTL_MS = 2_000;
const MAX_IDLE_MS = 60_000;

interface Holding {
  /** When each permit that was granted is due. */
  dueAtMs: number[];
  /** When permits were claimed for placements that are not yet written. */
  claimedAtMs: number[];
  /** Until when no permit is to be had. */
  closedUntilMs: number;
  usedAtMs: number;
}

/** The permits of this instance to send to runners with a rate limit. */
export class HeldPermits {
  readonly #holdings = new Map<string, Holding>();

  /** Adds a permit that is due in `waitMs`. */
  add(incarnationId: string, waitMs: number, nowMs: number): void {
    const holding = this.#find(incarnationId, nowMs);
    holding.dueAtMs.push(nowMs + waitMs);
    holding.closedUntilMs = Math.max(holding.closedUntilMs, nowMs + waitMs);
  }

  /** Records that no permit is to be had for `waitMs`. */
  close(incarnationId: string, waitMs: number, nowMs: number): void {
    this.#find(incarnationId, nowMs).closedUntilMs = nowMs + waitMs;
  }

  /** Time until a permit is at hand or can be asked for; 0 if one can be now. */
  findOpenMs(incarnationId: string, nowMs: number): number {
    const holding = this.#holdings.get(incarnationId);
    if (!holding) return 0;
    const dueMs = holding.dueAtMs
      .filter((atMs) => nowMs - atMs < VALIDITY_MS)
      .map((atMs) => atMs - nowMs);
    return Math.max(0, Math.min(holding.closedUntilMs - nowMs, ...dueMs));
  }

  /** Claims a permit that is due for a placement; false if there is none. */
  claim(incarnationId: string, nowMs: number): boolean {
    const holding = this.#find(incarnationId, nowMs);
    holding.dueAtMs = holding.dueAtMs.filter(
      (atMs) => nowMs - atMs < VALIDITY_MS,
    );
    const index = holding.dueAtMs.findIndex((atMs) => atMs <= nowMs);
    if (index < 0) return false;
    holding.dueAtMs.splice(index, 1);
    holding.claimedAtMs.push(nowMs);
    return true;
  }

  /** Uses a claimed permit; false if there is none. */
  spend(incarnationId: string, nowMs: number): boolean {
    const holding = this.#find(incarnationId, nowMs);
    holding.claimedAtMs = holding.claimedAtMs.filter(
      (atMs) => nowMs - atMs < CLAIM_TTL_MS,
    );
    return holding.claimedAtMs.shift() !== undefined;
  }

  /** Gives a claimed permit back for the next placement. */
  release(incarnationId: string, nowMs: number): void {
    const holding = this.#find(incarnationId, nowMs);
    const claimedAtMs = holding.claimedAtMs.pop();
    if (claimedAtMs !== undefined) holding.dueAtMs.push(claimedAtMs);
  }

  #find(incarnationId: string, nowMs: number): Holding {
    const known = this.#holdings.get(incarnationId);
    const holding = known ?? {
      dueAtMs: [],
      claimedAtMs: [],
      closedUntilMs: nowMs,
      usedAtMs: nowMs,
    };
    holding.usedAtMs = nowMs;
    if (!known) {
      for (const [id, { usedAtMs }] of this.#holdings) {
        if (nowMs - usedAtMs > MAX_IDLE_MS) this.#holdings.delete(id);
      }
      this.#holdings.set(incarnationId, holding);
    }
    return holding;
  }
}
