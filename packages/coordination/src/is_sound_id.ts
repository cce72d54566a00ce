import { PART_EVIDENCE_LIMITS } from "./part_evidence_limits.js";

/** True if an id is neither empty nor too long to be recorded and told. */
export function isSoundId(id: string): boolean {
  return id !== "" && id.length <= PART_EVIDENCE_LIMITS.idLength;
}
