import type { SubmissionResult } from "@jujubeladder/types";

/** The witness's answer to an instance that cannot reach the owner. */
export type ResolveVerdict =
  | { readonly type: "result"; readonly result: SubmissionResult }
  | { readonly type: "started" }
  | { readonly type: "barred" }
  | { readonly type: "unknown_witness" }
  | { readonly type: "expired" }
  | { readonly type: "unreachable" };
