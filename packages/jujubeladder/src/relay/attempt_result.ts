import type { Outcome } from "@jujubeladder/types";

/** Result of one attempt to run a generation on one runner. */
export type AttemptResult =
  | { readonly type: "finished" }
  /** The caller disconnected; not a failure of the runner. */
  | { readonly type: "abandoned"; readonly reason: string }
  /** Nothing ran: the runner refused the request or was not reached. */
  | {
      readonly type: "not_started";
      readonly reason: string;
      readonly isLeaving: boolean;
      readonly isUnreachable: boolean;
    }
  /** The generation was lost after it started or may have started. */
  | {
      readonly type: "lost";
      readonly outcome: Outcome;
      readonly reason: string;
      readonly isCrash: boolean;
    };
