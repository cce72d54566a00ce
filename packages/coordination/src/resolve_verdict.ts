import type { SubmissionResult } from "@jujubeladder/types";

/** Result of asking the witness of a ticket whose owner cannot be reached. */
export type ResolveVerdict =
  | { readonly type: "result"; readonly result: SubmissionResult }
  | { readonly type: "started" }
  | { readonly type: "barred" }
  | { readonly type: "unknown_witness" }
  | { readonly type: "expired" }
  | { readonly type: "unreachable" };
