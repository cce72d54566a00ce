import { create } from "@bufbuild/protobuf";
import {
  WitnessRecordSchema,
  type WitnessRecord,
} from "@jujubeladder/protocol";
import type { WitnessEntry } from "./witness_entry.js";

/** Converts a witness's entry to its protocol message. */
export function toWitnessRecord(
  ticketId: string,
  entry: WitnessEntry,
): WitnessRecord {
  const expiresAtMs = BigInt(entry.expiresAtMs);
  const { state } = entry;
  const record = { ticketId, expiresAtMs, state };
  switch (entry.state) {
    case "started": {
      const { ownerIncarnation } = entry;
      return create(WitnessRecordSchema, { ...record, ownerIncarnation });
    }
    case "barred":
      return create(WitnessRecordSchema, record);
    case "result":
      return create(WitnessRecordSchema, { ...record, result: entry.result });
  }
}
