import type { WitnessRecord } from "@jujubeladder/protocol";
import { toSubmissionResult } from "./to_submission_result.js";
import type { WitnessEntry } from "./witness_entry.js";

/** Reads a witness's entry from the wire; in doubt the ticket has started. */
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
