/** The witness's response when an owner asks to start a ticket. */
export type StartVerdict =
  "recorded" | "barred" | "unknown_witness" | "expired" | "full";
