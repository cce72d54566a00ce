import { monotonicMs } from "@jujubeladder/utils";
import { rankSuspicions } from "./rank_suspicions.js";
import type { SuspicionChange } from "./suspicion_change.js";
import type { SuspicionStatus } from "./suspicion_status.js";
import type { ToldSuspicion } from "./told_suspicion.js";

const DEFAULT_QUARANTINE_THRESHOLD = 2;
const RETENTION_MS = 600_000;
const MAX_SUSPICIONS = 1_000;
/** Dropped at a time, so that a flood is not ranked at each suspicion. */
const EVICTION_COUNT = 100;
/** Verdicts that each list begins with, the newest; the others take turns. */
const VERDICTS_FIRST = 2;
/** Of the other verdicts, a digest holds about as many. */
const VERDICTS_A_TURN = 3;
/** Cleared losses that are kept of a fingerprint, the newest. */
const MAX_CLEARED = 16;

interface Suspicion {
  /** Those that count. */
  readonly lostRunners: Set<string>;
  /** Those that do not, as the request was served since; the oldest first. */
  readonly clearedRunners: Set<string>;
  lastLossAtMs: number;
}

/**
 * Tracks the fingerprints of requests that were running when runners were lost.
 * A fingerprint that has lost a runner is a suspect; once it has lost as many
 * different runners as the threshold, it is quarantined. Both states expire.
 */
export class Quarantine {
  readonly #suspicions = new Map<string, Suspicion>();
  readonly #quarantineThreshold: number;
  readonly #onChange: (change: SuspicionChange) => void;
  readonly #readMs: () => number;
  #listCount = 0;

  /**
   * `quarantineThreshold`: lost runners at which a request is quarantined.
   * `readMs`: monotonic clock in milliseconds.
   */
  constructor(
    quarantineThreshold = DEFAULT_QUARANTINE_THRESHOLD,
    options: {
      readonly onChange?: (change: SuspicionChange) => void;
      readonly readMs?: () => number;
    } = {},
  ) {
    this.#quarantineThreshold = quarantineThreshold;
    this.#onChange = options.onChange ?? (() => undefined);
    this.#readMs = options.readMs ?? monotonicMs;
  }

  /** True if no fingerprint has been recorded, so that all are clear. */
  get isEmpty(): boolean {
    return this.#suspicions.size === 0;
  }

  /** Number of fingerprints that are quarantined. */
  countQuarantined(): number {
    return [...this.#suspicions.keys()].filter(
      (fingerprint) => this.status(fingerprint).type === "quarantined",
    ).length;
  }

  /** Records lost runners; returns true if any was not known before. */
  recordLosses(
    fingerprint: string,
    runnerIds: readonly string[],
    ageMs = 0,
    source: "own" | "peer" = "own",
  ): boolean {
    const suspicion = this.#suspicions.get(fingerprint);
    const news = runnerIds.filter(
      (runnerId) =>
        !suspicion?.lostRunners.has(runnerId) &&
        !suspicion?.clearedRunners.has(runnerId),
    );
    if (news.length === 0) return false;
    this.#record(fingerprint, ageMs, ({ lostRunners }) => {
      for (const runnerId of news) lostRunners.add(runnerId);
    });
    const status = this.status(fingerprint).type;
    if (status !== "clear") this.#tellChange(fingerprint, { status, source });
    return true;
  }

  /**
   * Clears the losses so far of a suspect that ran and was served whole. One
   * such answer ends no quarantine, which rests on several losses.
   */
  recordSuccess(fingerprint: string): void {
    const status = this.status(fingerprint);
    if (status.type !== "suspect") return;
    this.#clear(fingerprint, status.lostRunners, 0);
    this.#tellChange(fingerprint, { status: "cleared", source: "own" });
  }

  /** Merges what a peer tells; returns true if any loss was not known before. */
  merge({
    fingerprint,
    lostRunners,
    clearedRunners,
    ageMs,
  }: ToldSuspicion): boolean {
    // As with an answer of one's own, a quarantine is not ended.
    if (this.status(fingerprint).type !== "quarantined")
      this.#clear(fingerprint, clearedRunners, ageMs);
    return this.recordLosses(fingerprint, lostRunners, ageMs, "peer");
  }

  status(fingerprint: string): SuspicionStatus {
    const suspicion = this.#suspicions.get(fingerprint);
    if (!suspicion || this.#isExpired(suspicion)) return { type: "clear" };
    const lostRunners = [...suspicion.lostRunners];
    if (lostRunners.length === 0) return { type: "clear" };
    return lostRunners.length >= this.#quarantineThreshold
      ? { type: "quarantined", lostRunners }
      : { type: "suspect", lostRunners };
  }

  /**
   * Returns the suspicions to tell peers, those that decide most first; see
   * `rankSuspicions`. Of many verdicts, all but the newest take turns at the
   * beginning of the list, as a digest may hold only a few.
   */
  list(limit: number): readonly ToldSuspicion[] {
    const ranked = rankSuspicions(
      [...this.#suspicions].filter(
        ([, suspicion]) => !this.#isExpired(suspicion),
      ),
      this.#quarantineThreshold,
    );
    const verdictCount = ranked.filter(
      ([fingerprint]) => this.status(fingerprint).type === "quarantined",
    ).length;
    const older = ranked.slice(VERDICTS_FIRST, verdictCount);
    const turn = (this.#listCount * VERDICTS_A_TURN) % (older.length || 1);
    this.#listCount += 1;
    return [
      ...ranked.slice(0, Math.min(VERDICTS_FIRST, verdictCount)),
      ...older.slice(turn),
      ...older.slice(0, turn),
      ...ranked.slice(verdictCount),
    ]
      .slice(0, limit)
      .map(([fingerprint, suspicion]) => this.#toTold(fingerprint, suspicion));
  }

  /** Returns what is to be told of some fingerprints. */
  describe(fingerprints: readonly string[]): readonly ToldSuspicion[] {
    return fingerprints.flatMap((fingerprint) => {
      const suspicion = this.#suspicions.get(fingerprint);
      return suspicion ? [this.#toTold(fingerprint, suspicion)] : [];
    });
  }

  #toTold(fingerprint: string, suspicion: Suspicion): ToldSuspicion {
    const { lostRunners, clearedRunners, lastLossAtMs } = suspicion;
    const threshold = this.#quarantineThreshold;
    return {
      fingerprint,
      lostRunners: [...lostRunners].slice(-threshold),
      clearedRunners: [...clearedRunners].slice(-threshold),
      ageMs: Math.round(this.#readMs() - lastLossAtMs),
    };
  }

  #clear(
    fingerprint: string,
    runnerIds: readonly string[],
    ageMs: number,
  ): void {
    const known = this.#suspicions.get(fingerprint)?.clearedRunners;
    const news = runnerIds.filter((runnerId) => !known?.has(runnerId));
    if (news.length === 0) return;
    this.#record(fingerprint, ageMs, ({ lostRunners, clearedRunners }) => {
      for (const runnerId of news) {
        lostRunners.delete(runnerId);
        clearedRunners.add(runnerId);
      }
      const excess = clearedRunners.size - MAX_CLEARED;
      for (const runnerId of [...clearedRunners].slice(0, Math.max(0, excess)))
        clearedRunners.delete(runnerId);
    });
  }

  #record(
    fingerprint: string,
    ageMs: number,
    update: (suspicion: Suspicion) => void,
  ): void {
    const suspicion = this.#suspicions.get(fingerprint) ?? {
      lostRunners: new Set<string>(),
      clearedRunners: new Set<string>(),
      lastLossAtMs: -Infinity,
    };
    update(suspicion);
    suspicion.lastLossAtMs = Math.max(
      suspicion.lastLossAtMs,
      this.#readMs() - ageMs,
    );
    this.#suspicions.set(fingerprint, suspicion);
    if (this.#suspicions.size > MAX_SUSPICIONS) this.#evict();
  }

  #isExpired(suspicion: Suspicion): boolean {
    return this.#readMs() - suspicion.lastLossAtMs > RETENTION_MS;
  }

  // Drops what has expired, then what decides least.
  #evict(): void {
    for (const [fingerprint, suspicion] of this.#suspicions)
      if (this.#isExpired(suspicion)) this.#suspicions.delete(fingerprint);
    const dropped = rankSuspicions(
      [...this.#suspicions],
      this.#quarantineThreshold,
    ).slice(MAX_SUSPICIONS - EVICTION_COUNT);
    for (const [fingerprint] of dropped) {
      this.#tellChange(fingerprint, { status: "evicted", source: "limit" });
      this.#suspicions.delete(fingerprint);
    }
  }

  #tellChange(
    fingerprint: string,
    change: Pick<SuspicionChange, "status" | "source">,
  ): void {
    const suspicion = this.#suspicions.get(fingerprint);
    if (!suspicion) return;
    const { lostRunners, clearedRunners } = suspicion;
    const lossCount = lostRunners.size + clearedRunners.size;
    this.#onChange({ ...change, fingerprint, lossCount });
  }
}
