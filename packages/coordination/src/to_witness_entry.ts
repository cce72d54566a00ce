import type { WitnessRecord } from "@jujubeladder/protocol";
import { toSubmissionResult } from "./to_submission_result.js";
import type { WitnessEntry } from "./witness_entry.js";

/**
 * Parses a witness record from its protocol message. An unknown state or a
 * missing result is read as `started`, so that the ticket is not run again.
 */
export function toWitnessEntry(record: WitnessRecord): WitnessEntry {
  const expiresAtMs = Number(record.expiresAtMs);
  if (record.state === "barred") return { state: "barred", expiresAtMs };
  if (record.state === "result" && record.result) {
    const result = toSubmissionResult(record.result);
    return { state: "result", expiresAtMs, result };
  }
  const { ownerIncarnation } = record;
  return { state: "started", expiresAtMs, ownerIncarnation };
}
