import type { SubmissionResult } from "@jujubeladder/types";

/** A submission that its owner is running or has run. */
export interface SubmissionRun {
  readonly expiresAtMs: number;
  readonly outcome: Promise<SubmissionResult>;
  result: SubmissionResult | undefined;
}
