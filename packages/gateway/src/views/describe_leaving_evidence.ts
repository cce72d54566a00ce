import type { LeavingEvidence } from "../model/leaving_evidence.js";

/** Fields of the log line that says how a runner is known to be leaving. */
export function describeLeavingEvidence(
  evidence: LeavingEvidence,
): Readonly<Record<string, string | number | boolean | undefined>> {
  switch (evidence.type) {
    case "stated":
      return { cause: evidence.source, age_ms: evidence.ageMs };
    case "absent":
      return {
        cause: "removed",
        ...evidence.asOf,
        is_confirmed: evidence.isConfirmed,
      };
  }
}
