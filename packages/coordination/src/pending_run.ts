import type { SubmissionResult } from "@jujubeladder/types";

/** A submission that an owner has run or runs now. */
export interface PendingRun {
  readonly expiresAtMs: number;
  readonly outcome: Promise<SubmissionResult>;
  result: SubmissionResult | undefined;
}
