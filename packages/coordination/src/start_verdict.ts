/**
 * The witness's response when an owner asks to start a ticket. Only `recorded`
 * allows the owner to dispatch it; `started` means that another owner has.
 */
export type StartVerdict =
  "recorded" | "started" | "barred" | "unknown_witness" | "expired" | "full";
