import type { Digest } from "@jujubeladder/protocol";
import { isSoundId } from "./is_sound_id.js";
import { PART_EVIDENCE_LIMITS } from "./part_evidence_limits.js";
import type { PartSuspicion } from "./part_suspicion.js";

/** Decodes the evidence in a peer's digest, without odd entries. */
export function decodePartEvidence(digest: Digest): readonly PartSuspicion[] {
  const { partSuspicions, runnerLosses } = digest;
  return partSuspicions
    .slice(0, PART_EVIDENCE_LIMITS.parts)
    .filter(({ partId }) => isSoundId(partId))
    .map(({ partId, lossIndexes, livedAgeMs }) => {
      const indexes = [...new Set(lossIndexes)];
      const losses = new Map(
        indexes
          .slice(0, PART_EVIDENCE_LIMITS.lossesPerPart)
          .flatMap((index) => {
            const loss = runnerLosses[index];
            return loss && isSoundId(loss.incarnationId)
              ? [[loss.incarnationId, loss.ageMs] as const]
              : [];
          }),
      );
      return {
        partId,
        losses: [...losses]
          .map(([incarnationId, ageMs]) => ({ incarnationId, ageMs }))
          .sort((a, b) => a.ageMs - b.ageMs),
        livedAgeMs,
      };
    });
}
