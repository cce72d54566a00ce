import type { Digest } from "@jujubeladder/protocol";
import { PART_EVIDENCE_LIMITS } from "./part_evidence_limits.js";
import type { PartSuspicion } from "./part_suspicion.js";

/** Decodes the evidence in a peer's digest, without odd entries. */
export function decodePartEvidence(digest: Digest): readonly PartSuspicion[] {
  const { partSuspicions, runnerLosses } = digest;
  return partSuspicions
    .slice(0, PART_EVIDENCE_LIMITS.parts)
    .filter(({ partId }) => isReadable(partId))
    .map(({ partId, lossIndexes, livedAgeMs }) => {
      const indexes = [...new Set(lossIndexes)];
      const losses = new Map(
        indexes
          .slice(0, PART_EVIDENCE_LIMITS.lossesPerPart)
          .flatMap((index) => {
            const loss = runnerLosses[index];
            return loss && isReadable(loss.incarnationId)
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

function isReadable(id: string): boolean {
  return id !== "" && id.length <= PART_EVIDENCE_LIMITS.idLength;
}
