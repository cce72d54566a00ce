import { maxElapsedMs } from "@jujubeladder/utils";
import type { ClockReading } from "@jujubeladder/utils";
import { clocksBefore } from "./clocks_before.js";
import { PART_EVIDENCE_LIMITS } from "./part_evidence_limits.js";
import type { PartSuspicion } from "./part_suspicion.js";

/**
 * Losses kept of a part; the oldest are dropped first. A convicted part no
 * longer explains those that were dropped, which then count against others.
 */
const MAX_LOSSES = 128;
/** Engines that fail within this time may have failed for one cause. */
const LOSS_SPACING_MS = 250;
/**
 * How far a report may date a known loss back. A peer whose clock was set
 * forward would otherwise end verdicts everywhere.
 */
const MAX_BACKDATING_MS = 2_000;

interface Loss {
  readonly heardAt: ClockReading;
  readonly lostAt: ClockReading;
}

/** What is known of one prompt part: the runners it lost, and its last life. */
export class PartRecord {
  readonly #losses = new Map<string, Loss>();
  #livedAt: ClockReading | undefined;

  constructor(livedAt: ClockReading | undefined) {
    this.#livedAt = livedAt;
  }

  /** When the newest request that is known to have lived began. */
  get livedAt(): ClockReading | undefined {
    return this.#livedAt;
  }

  get lossCount(): number {
    return this.#losses.size;
  }

  get losses(): ReadonlySet<string> {
    return new Set(this.#losses.keys());
  }

  /** Records a loss, or an earlier time of it; returns true if it is new. */
  addLoss(incarnationId: string, ageMs: number, now: ClockReading): boolean {
    const known = this.#losses.get(incarnationId);
    if (known) {
      if (ageMs <= maxElapsedMs(known.lostAt, now)) return false;
      const maxAgeMs = maxElapsedMs(known.heardAt, now) + MAX_BACKDATING_MS;
      const lostAt = clocksBefore(now, Math.min(ageMs, maxAgeMs));
      this.#losses.set(incarnationId, { ...known, lostAt });
      return false;
    }
    const lostAt = clocksBefore(now, ageMs);
    this.#losses.set(incarnationId, { heardAt: now, lostAt });
    if (this.#losses.size <= MAX_LOSSES) return true;
    const oldest = this.#byAge(now).at(-1)?.incarnationId ?? incarnationId;
    this.#losses.delete(oldest);
    return oldest !== incarnationId;
  }

  /** Records a request that lived; returns true if that acquits a loss. */
  addLife(ageMs: number, now: ClockReading): boolean {
    if (this.livedAgeMs(now) <= ageMs) return false;
    const countBefore = this.countedLosses(now).size;
    this.#livedAt = clocksBefore(now, ageMs);
    return this.countedLosses(now).size < countBefore;
  }

  /** Infinite if none is known. */
  livedAgeMs(now: ClockReading): number {
    return this.#livedAt ? maxElapsedMs(this.#livedAt, now) : Infinity;
  }

  newestLossAgeMs(now: ClockReading): number {
    let newestMs = Infinity;
    for (const { lostAt } of this.#losses.values())
      newestMs = Math.min(newestMs, maxElapsedMs(lostAt, now));
    return newestMs;
  }

  /** Lost incarnations since which no request with the part has lived. */
  countedLosses(now: ClockReading): ReadonlySet<string> {
    const livedAgeMs = this.livedAgeMs(now);
    const counted = new Set<string>();
    for (const [incarnationId, { lostAt }] of this.#losses)
      if (maxElapsedMs(lostAt, now) <= livedAgeMs) counted.add(incarnationId);
    return counted;
  }

  /** Counted losses at separate moments. */
  countSeparateLosses(now: ClockReading): number {
    const counted = this.countedLosses(now);
    let count = 0;
    let lastAgeMs = Number.NEGATIVE_INFINITY;
    for (const { incarnationId, ageMs } of this.#byAge(now)) {
      if (!counted.has(incarnationId)) continue;
      if (ageMs - lastAgeMs < LOSS_SPACING_MS) continue;
      lastAgeMs = ageMs;
      count += 1;
    }
    return count;
  }

  /** Leaves out acquitted losses, except for the newest. */
  describe(partId: string, now: ClockReading): PartSuspicion {
    const livedAgeMs = this.livedAgeMs(now);
    const losses = this.#byAge(now).filter(
      ({ ageMs }, index) => index === 0 || ageMs <= livedAgeMs,
    );
    return {
      partId,
      losses: losses.slice(0, PART_EVIDENCE_LIMITS.lossesPerPart),
      livedAgeMs: this.#livedAt && livedAgeMs,
    };
  }

  #byAge(now: ClockReading): PartSuspicion["losses"] {
    return [...this.#losses]
      .map(([incarnationId, { lostAt }]) => ({
        incarnationId,
        ageMs: maxElapsedMs(lostAt, now),
      }))
      .sort((a, b) => a.ageMs - b.ageMs);
  }
}
