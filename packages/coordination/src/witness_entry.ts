import type { SubmissionResult } from "@jujubeladder/types";

/** A witness's record of a ticket. */
export type WitnessEntry =
  | {
      readonly state: "started";
      readonly expiresAtMs: number;
      readonly ownerIncarnation: string;
    }
  | { readonly state: "barred"; readonly expiresAtMs: number }
  | {
      readonly state: "result";
      readonly expiresAtMs: number;
      readonly result: SubmissionResult;
    };
