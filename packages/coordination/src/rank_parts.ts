import type { ClockReading } from "@jujubeladder/utils";
import type { PartEvidence } from "./part_evidence.js";

/** Sorts parts by rank, then by number of losses, then the newest loss first. */
export function rankParts(
  parts: ReadonlyMap<string, PartEvidence>,
  rankOf: (partId: string) => number,
  now: ClockReading,
): readonly (readonly [string, PartEvidence])[] {
  return [...parts]
    .map(([partId, evidence]) => ({
      entry: [partId, evidence] as const,
      rank: rankOf(partId),
      lossCount: evidence.lossCount,
      ageMs: evidence.newestLossAgeMs(now),
    }))
    .sort(
      (a, b) =>
        b.rank - a.rank || b.lossCount - a.lossCount || a.ageMs - b.ageMs,
    )
    .map(({ entry }) => entry);
}
