import type { ClockReading } from "@jujubeladder/utils";
import type { PartRecord } from "./part_record.js";

/** Sorts parts by rank, then by number of losses, then the newest loss first. */
export function rankParts(
  parts: ReadonlyMap<string, PartRecord>,
  rankOf: (partId: string) => number,
  now: ClockReading,
): readonly (readonly [string, PartRecord])[] {
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
