/** The witness's answer to the owner that wants to dispatch. */
export type StartVerdict =
  "recorded" | "barred" | "unknown_witness" | "expired" | "full";
