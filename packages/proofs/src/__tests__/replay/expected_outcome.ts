/** An outcome a trace expects in addition to the invariants. */
export type ExpectedOutcome =
  | {
      readonly state: "outcome";
      readonly of: string;
      readonly in: readonly string[];
    }
  | { readonly state: "same_answer"; readonly of: readonly string[] }
  | {
      readonly state: "runs";
      readonly mark: string;
      readonly min: number;
      readonly max: number;
    }
  | {
      readonly state: "whole_stream";
      /** A stream followed by the reconnects that resume it, in order. */
      readonly of: readonly string[];
      readonly tokens: number;
    }
  | {
      readonly state: "stream_end";
      readonly of: string;
      readonly in: readonly string[];
    }
  | {
      readonly state: "revision";
      readonly of: string;
      readonly is: number;
    }
  | { readonly state: "all_alike" }
  | {
      readonly state: "retries_within";
      readonly of: string;
      readonly firstAttempts: number;
      readonly percent: number;
      /** Retries that an unused retry budget allows up front. */
      readonly saved: number;
    }
  | {
      readonly state: "not_logged";
      readonly of: string;
      readonly text: string;
    }
  | {
      readonly state: "no_start_after";
      readonly runner: string;
      /** How long after the leave announcement generations may still start. */
      readonly boundMs: number;
    }
  | { readonly state: "exit_code"; readonly of: string; readonly is: number }
  | {
      readonly state: "engine_state";
      readonly runner: string;
      readonly version: string;
    }
  | { readonly state: "no_cut_by_order" }
  | { readonly state: "weight_store_refused"; readonly max: number }
  | { readonly state: "runners_crashed"; readonly max: number };
