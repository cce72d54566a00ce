import { isSoundId } from "./is_sound_id.js";
import { PART_EVIDENCE_LIMITS } from "./part_evidence_limits.js";
import type { PartSuspicion } from "./part_suspicion.js";

/**
 * Returns a suspicion without what cannot be recorded (ids that are empty or
 * too long, ages that are no time), or undefined if no loss remains.
 */
export function toSoundSuspicion(
  suspicion: PartSuspicion,
): PartSuspicion | undefined {
  const { partId, livedAgeMs } = suspicion;
  const losses = suspicion.losses
    .slice(0, PART_EVIDENCE_LIMITS.lossesPerPart)
    .filter(
      ({ incarnationId, ageMs }) => isSoundId(incarnationId) && isAge(ageMs),
    );
  if (!isSoundId(partId) || losses.length === 0) return undefined;
  return {
    partId,
    losses,
    livedAgeMs:
      livedAgeMs !== undefined && isAge(livedAgeMs) ? livedAgeMs : undefined,
  };
}

function isAge(ageMs: number): boolean {
  return Number.isFinite(ageMs) && ageMs >= 0;
}
