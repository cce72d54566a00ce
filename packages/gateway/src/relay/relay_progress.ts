import type { FailureBlame } from "../decisions/failure_blame.js";
import type { RetryBooking } from "../decisions/retry_booking.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { KvCacheRef } from "../model/kv_cache_ref.js";
import type { AbandonedRun } from "./abandoned_run.js";
import type { AttemptConnection } from "./attempt_connection.js";
import type { AttemptOutcome } from "./attempt_outcome.js";

/** Progress of one request across its attempts. */
export interface RelayProgress {
  /** Ids of runners that placement no longer considers for this request. */
  readonly excludedRunnerIds: Set<string>;
  /** Number of runners that the request has been sent to. */
  sendCount: number;
  /**
   * Number of runs that the request may have had; a run that resumed on another
   * runner counts once.
   */
  executionCount: number;
  mayHaveExecuted: boolean;
  /** Why the last attempt or placement failed; empty if none has failed. */
  lastReason: string;
  /** By the operator's word, it may go to none of the runners that are left. */
  isBarred: boolean;
  /**
   * When the first of the runners that are left can be asked for a permit;
   * undefined unless all of them limit their rate.
   */
  permitInMs: number | undefined;
  /** Last complete 5xx response, delivered if no retry succeeds. */
  lastFailure: Extract<AttemptOutcome, { type: "answered" }> | undefined;
  /** Runners that answered with a server error. */
  readonly failures: FailureBlame;
  /** Connection of the last attempt; undefined if nothing was sent. */
  lastConnection: AttemptConnection | undefined;
  /** A run to stop before the request is sent to another runner. */
  abandonedRun: AbandonedRun | undefined;
  /** Budget of the attempt that comes next, unless it is the first. */
  booking: RetryBooking | undefined;
  /** Budget of the retry for which a silent attempt was given up. */
  nextBooking: RetryBooking | undefined;
  /** Where a migrated run resumes; takes precedence over placement. */
  continueAt:
    | {
        readonly runner: GatewayRunner;
        readonly cacheRef: KvCacheRef;
        /** Absent if the run stopped by itself. */
        readonly booking: RetryBooking | undefined;
      }
    | undefined;
}
