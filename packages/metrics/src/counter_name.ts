/**
 * Names of the counters. `answers_cut` counts responses aborted after their
 * head, `moves` the migrations of running generations, and `preemptions_seen`
 * the preemptions that engines reported.
 */
export type CounterName =
  | "tokens"
  | "decisions"
  | "retries"
  | "resumes"
  | "preemptions_seen"
  | "runners_lost"
  | "refusals"
  | "requests"
  | "attempts"
  | "callers_left"
  | "answers_cut"
  | "moves"
  | "log_lines_dropped";
