import { monotonicMs } from "@jujubeladder/utils";
import type { PartEvidence } from "../part_evidence.js";
import type { PartSuspicion } from "../part_suspicion.js";

/** Evidence that is news if it names a loss that was not known. */
export class KnownParts implements PartEvidence {
  readonly merged: (readonly PartSuspicion[])[] = [];
  readonly #lostAtMs = new Map<string, Map<string, number>>();

  add(partId: string, incarnationId: string, ageMs = 0): boolean {
    const known = this.#lostAtMs.get(partId) ?? new Map<string, number>();
    this.#lostAtMs.set(partId, known);
    if (known.has(incarnationId)) return false;
    known.set(incarnationId, monotonicMs() - ageMs);
    return true;
  }

  has(partId: string): boolean {
    return this.#lostAtMs.has(partId);
  }

  list(limit: number): readonly PartSuspicion[] {
    const nowMs = monotonicMs();
    return [...this.#lostAtMs]
      .reverse()
      .slice(0, limit)
      .map(([partId, lostAtMs]) => ({
        partId,
        losses: [...lostAtMs].map(([incarnationId, atMs]) => ({
          incarnationId,
          ageMs: nowMs - atMs,
        })),
        livedAgeMs: undefined,
      }));
  }

  merge(entries: readonly PartSuspicion[]): boolean {
    this.merged.push(entries);
    let isNews = false;
    for (const { partId, losses } of entries) {
      for (const { incarnationId, ageMs } of losses) {
        if (this.add(partId, incarnationId, ageMs)) isNews = true;
      }
    }
    return isNews;
  }
}
