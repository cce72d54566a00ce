import type { PartQuarantine, Quarantine } from "@jujubeladder/coordination";
import type { Refusal } from "../model/refusal.js";

/** Leaves callers time to change a request that crashes runners. */
const QUARANTINED_RETRY_MS = 1_000;

/**
 * Returns the refusal of a request that is quarantined, as a whole or for a part
 * of its prompt, because runners that began to answer such requests crashed.
 */
export function findQuarantineRefusal(
  request: {
    readonly computeFingerprint: () => string;
    readonly sharedPartIds: readonly string[];
  },
  quarantines: {
    readonly quarantine: Quarantine;
    readonly partQuarantine: PartQuarantine;
  },
): Refusal | undefined {
  const { quarantine, partQuarantine } = quarantines;
  const { computeFingerprint, sharedPartIds } = request;
  if (
    !quarantine.isEmpty &&
    quarantine.status(computeFingerprint()).type === "quarantined"
  ) {
    return refuse("it has crashed several runners");
  }
  if (partQuarantine.status(sharedPartIds).type === "quarantined") {
    return refuse("a part of its prompt has crashed several runners");
  }
  return undefined;
}

function refuse(reason: string): Refusal {
  return { type: "not_run", reason, retryAfterMs: QUARANTINED_RETRY_MS };
}
