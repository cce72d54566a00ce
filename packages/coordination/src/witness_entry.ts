import type { SubmissionResult } from "@jujubeladder/types";

/** What a witness knows of a ticket. */
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
