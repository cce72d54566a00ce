import type { Outcome } from "@jujubeladder/types";

/** How one attempt of a generation at one runner ended. */
export type AttemptEnd =
  | { readonly type: "finished" }
  /** The caller went away; says nothing about the runner. */
  | { readonly type: "abandoned"; readonly reason: string }
  /** Nothing ran: the runner refused or was never reached. */
  | {
      readonly type: "not_started";
      readonly reason: string;
      readonly isLeaving: boolean;
      readonly isUnreachable: boolean;
    }
  | {
      readonly type: "lost";
      readonly outcome: Outcome;
      readonly reason: string;
      readonly isCrash: boolean;
    };
