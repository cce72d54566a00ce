import { maxElapsedMs, readClocks } from "@jujubeladder/utils";
import type { ClockReading } from "@jujubeladder/utils";
import { clocksBefore } from "./clocks_before.js";
import { isSoundId } from "./is_sound_id.js";
import { judgeParts } from "./judge_parts.js";
import { PartRecord } from "./part_record.js";
import type { PartStatus } from "./part_status.js";
import type { PartSuspicion } from "./part_suspicion.js";
import type { PartVerdict } from "./part_verdict.js";
import { rankParts } from "./rank_parts.js";
import { RecentLives } from "./recent_lives.js";
import { toSoundSuspicion } from "./to_sound_suspicion.js";

const MAX_PARTS = 256;
/** Parts dropped at a time, so that a flood is not ranked at each part. */
const EVICTION_COUNT = 32;
const MAX_PARTS_OF_REQUEST = 16;
const MAX_MERGED_ENTRIES = 64;
/** After this time a verdict allows a trial, and a mere suspicion ends. */
const VERDICT_MS = 600_000;
/** The same for a part that lived before: many requests may hold it. */
const LIVED_PART_VERDICT_MS = 30_000;
/** A loss this long after the last one still renews the verdict. */
const CONVICTION_MEMORY_MS = 3_600_000;
/** Parts with fewer losses are never convicted. */
const MIN_CONVICTION_LOSSES = 3;
/** Verdicts change with time alone, though slowly. */
const REVIEW_INTERVAL_MS = 1_000;
/**
 * Taken off a life that a peer tells: its age does not count the way here. A
 * life must not grow newer, and acquit of later losses, as it is passed on.
 */
const LIFE_MARGIN_MS = 250;

const CLEAR: PartStatus = { type: "clear" };
/** How much a verdict decides; parts that decide least are evicted first. */
const STRENGTH = { suspected: 1, lapsed: 2, convicted: 3 } as const;

/**
 * Decides which prompt parts crash runners. A part's loss counts until a request
 * with the part is known to have begun since and lived. Evidence of peers is
 * merged; the order and repetition of reports do not matter.
 *
 * A team that crashes runners with parts of others gets these refused only if no
 * request with them has lived since. It can displace other teams' suspicions,
 * those with few losses first, but no verdict unless it brings about one of its
 * own: table, losses per part, parts per request and ids are bounded.
 */
export class PartQuarantine {
  readonly #readClocks: () => ClockReading;
  readonly #parts = new Map<string, PartRecord>();
  readonly #lives = new RecentLives();
  #verdicts: ReadonlyMap<string, PartVerdict> = new Map();
  /** Incarnations that convicted parts have lost. */
  #explained: ReadonlySet<string> = new Set();
  #reviewedAt: ClockReading | undefined;

  constructor(options: { readonly readClocks?: () => ClockReading } = {}) {
    this.#readClocks = options.readClocks ?? readClocks;
  }

  /** True if no loss is recorded, so that all parts are clear. */
  get isEmpty(): boolean {
    return this.#parts.size === 0;
  }

  /**
   * Records a runner lost while a request with these parts was about to begin
   * or had just begun. The request's own part is left out by the caller.
   * Returns true if that is news.
   */
  recordLoss(partIds: readonly string[], incarnationId: string): boolean {
    return this.merge(
      partIds.slice(0, MAX_PARTS_OF_REQUEST).map((partId) => ({
        partId,
        losses: [{ incarnationId, ageMs: 0 }],
        livedAgeMs: undefined,
      })),
    );
  }

  /**
   * Records that a request with these parts began `ageMs` ago and its runner
   * lived on. To be called while nothing is recorded, too: parts known to have
   * lived are judged less strictly. Returns true if a part's status changes.
   */
  recordLived(partIds: readonly string[], ageMs = 0): boolean {
    const now = this.#readClocks();
    let isNews = false;
    for (const partId of partIds.slice(0, MAX_PARTS_OF_REQUEST)) {
      const evidence = this.#parts.get(partId);
      if (!evidence) {
        if (isSoundId(partId))
          this.#lives.set(partId, clocksBefore(now, ageMs));
      } else if (this.#addLife(partId, evidence, ageMs, now)) isNews = true;
    }
    return isNews;
  }

  /** Returns the status of a request with these parts. */
  status(partIds: readonly string[]): PartStatus {
    if (this.isEmpty) return CLEAR;
    this.#review(this.#readClocks());
    let status = CLEAR;
    for (const partId of partIds) {
      const verdict = this.#verdicts.get(partId);
      if (!verdict) continue;
      const { lostRunners } = verdict;
      if (isConvicted(verdict, partIds))
        return { type: "quarantined", partId, lostRunners };
      if (status.type === "clear" || status.lostRunners < lostRunners)
        status = { type: "suspect", partId, lostRunners };
    }
    return status;
  }

  /**
   * Returns the entries to tell peers: quarantined parts, then those with most
   * losses, acquitted or not, since an acquittal decides as much.
   */
  list(limit: number): readonly PartSuspicion[] {
    const now = this.#readClocks();
    this.#review(now);
    const rankOf = (partId: string) =>
      this.#strength(partId) === STRENGTH.convicted ? 1 : 0;
    return rankParts(this.#parts, rankOf, now)
      .slice(0, limit)
      .map(([partId, evidence]) => evidence.describe(partId, now));
  }

  /** Merges the entries of a peer; returns true if any was news. */
  merge(entries: readonly PartSuspicion[]): boolean {
    const now = this.#readClocks();
    let isNews = false;
    for (const entry of entries.slice(0, MAX_MERGED_ENTRIES)) {
      const sound = toSoundSuspicion(entry);
      if (sound && this.#mergeEntry(sound, now)) isNews = true;
    }
    if (this.#parts.size > MAX_PARTS) this.#evict(now);
    return isNews;
  }

  #mergeEntry(entry: PartSuspicion, now: ClockReading): boolean {
    const { partId, losses, livedAgeMs } = entry;
    const recent = losses.filter(({ ageMs }) => ageMs <= VERDICT_MS);
    const known = this.#parts.get(partId);
    if (!known && recent.length === 0) return false;
    const evidence = known ?? new PartRecord(this.#lives.take(partId));
    if (!known) this.#parts.set(partId, evidence);
    let isNews = false;
    for (const { incarnationId, ageMs } of recent) {
      if (!evidence.addLoss(incarnationId, ageMs, now)) continue;
      this.#reviewedAt = undefined;
      if (this.#isOpen(partId, incarnationId)) isNews = true;
    }
    if (livedAgeMs === undefined) return isNews;
    const ageMs = livedAgeMs + LIFE_MARGIN_MS;
    return this.#addLife(partId, evidence, ageMs, now) || isNews;
  }

  // A loss that a convicted part explains changes nothing at once.
  #isOpen(partId: string, incarnationId: string): boolean {
    return (
      this.#strength(partId) !== STRENGTH.convicted &&
      !this.#explained.has(incarnationId)
    );
  }

  #addLife(
    partId: string,
    evidence: PartRecord,
    ageMs: number,
    now: ClockReading,
  ): boolean {
    if (!evidence.addLife(ageMs, now)) return false;
    const wasClear =
      this.#reviewedAt !== undefined && !this.#verdicts.has(partId);
    this.#reviewedAt = undefined;
    return !wasClear;
  }

  #review(now: ClockReading): void {
    const ageMs = this.#reviewedAt
      ? maxElapsedMs(this.#reviewedAt, now)
      : Infinity;
    if (ageMs < REVIEW_INTERVAL_MS) return;
    this.#reviewedAt = now;
    for (const [partId, evidence] of [...this.#parts]) {
      const mayBeConvicted = evidence.lossCount >= MIN_CONVICTION_LOSSES;
      const keptMs = mayBeConvicted ? CONVICTION_MEMORY_MS : VERDICT_MS;
      if (evidence.newestLossAgeMs(now) > keptMs) this.#remove(partId);
    }
    this.#verdicts = this.#judge(now);
    const explained = new Set<string>();
    for (const [partId, { type }] of this.#verdicts) {
      if (type !== "convicted") continue;
      for (const id of this.#parts.get(partId)?.losses ?? []) explained.add(id);
    }
    this.#explained = explained;
  }

  #judge(now: ClockReading): ReadonlyMap<string, PartVerdict> {
    const cases = new Map(
      [...this.#parts].map(([partId, evidence]) => [
        partId,
        {
          losses: evidence.losses,
          countedLosses: evidence.countedLosses(now),
          separateLossCount: evidence.countSeparateLosses(now),
          hasLived: evidence.livedAgeMs(now) <= VERDICT_MS,
        },
      ]),
    );
    return new Map(
      [...judgeParts(cases)].map(([partId, verdict]) => {
        const ageMs = this.#parts.get(partId)?.newestLossAgeMs(now) ?? 0;
        const { lostRunners } = verdict;
        const hasLived = cases.get(partId)?.hasLived ?? false;
        const maxAgeMs = hasLived ? LIVED_PART_VERDICT_MS : VERDICT_MS;
        const isLapsed = verdict.type === "convicted" && ageMs > maxAgeMs;
        return [partId, isLapsed ? { type: "lapsed", lostRunners } : verdict];
      }),
    );
  }

  #evict(now: ClockReading): void {
    this.#review(now);
    const ranked = rankParts(this.#parts, (id) => this.#strength(id), now);
    for (const [partId] of ranked.slice(MAX_PARTS - EVICTION_COUNT))
      this.#remove(partId);
    this.#reviewedAt = undefined;
  }

  #remove(partId: string): void {
    const livedAt = this.#parts.get(partId)?.livedAt;
    this.#parts.delete(partId);
    if (livedAt) this.#lives.set(partId, livedAt);
  }

  #strength(partId: string): number {
    const verdict = this.#verdicts.get(partId);
    return verdict ? STRENGTH[verdict.type] : 0;
  }
}

function isConvicted(
  verdict: PartVerdict,
  partIds: readonly string[],
): boolean {
  return (
    verdict.type === "convicted" &&
    verdict.members.every((member) => partIds.includes(member))
  );
}
