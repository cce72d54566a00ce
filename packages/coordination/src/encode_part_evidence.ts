import type { MessageInitShape } from "@bufbuild/protobuf";
import type {
  PartSuspicionSchema,
  RunnerLossSchema,
} from "@jujubeladder/protocol";
import { isSoundId } from "./is_sound_id.js";
import { PART_EVIDENCE_LIMITS } from "./part_evidence_limits.js";
import type { PartSuspicion } from "./part_suspicion.js";

const MAX_AGE_MS = 2 ** 32 - 1;

/** Encodes evidence for a digest, without entries that cannot be sent. */
export function encodePartEvidence(entries: readonly PartSuspicion[]): {
  readonly partSuspicions: MessageInitShape<typeof PartSuspicionSchema>[];
  readonly runnerLosses: MessageInitShape<typeof RunnerLossSchema>[];
} {
  const indexes = new Map<string, number>();
  const runnerLosses: { incarnationId: string; ageMs: number }[] = [];
  const toIndex = (incarnationId: string, ageMs: number) => {
    const index = indexes.get(incarnationId) ?? runnerLosses.length;
    const known = runnerLosses[index];
    if (known) {
      known.ageMs = Math.min(known.ageMs, ageMs);
    } else {
      indexes.set(incarnationId, index);
      runnerLosses.push({ incarnationId, ageMs });
    }
    return index;
  };
  const partSuspicions = entries
    .filter(({ partId }) => isSoundId(partId))
    .slice(0, PART_EVIDENCE_LIMITS.parts)
    .map(({ partId, losses, livedAgeMs }) => {
      const livedMs = toAgeMs(livedAgeMs);
      const lossIndexes = losses
        .slice(0, PART_EVIDENCE_LIMITS.lossesPerPart)
        .flatMap(({ incarnationId, ageMs }) => {
          const lossMs = toAgeMs(ageMs);
          return isSoundId(incarnationId) && lossMs !== undefined
            ? [toIndex(incarnationId, lossMs)]
            : [];
        });
      return {
        partId,
        lossIndexes,
        ...(livedMs === undefined ? {} : { livedAgeMs: livedMs }),
      };
    });
  return { partSuspicions, runnerLosses };
}

function toAgeMs(ageMs: number | undefined): number | undefined {
  if (ageMs === undefined || Number.isNaN(ageMs)) return undefined;
  return Math.min(Math.max(0, Math.round(ageMs)), MAX_AGE_MS);
}
