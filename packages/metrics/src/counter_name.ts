/**
 * Names of the counters. `answers_cut` counts responses aborted after their
 * head, `moves` the migrations of running generations, `preemptions_seen` the
 * preemptions that engines reported, `runners_leaving` the runners that became
 * known to be leaving, and `runner_pauses` the pauses that runners asked for.
 */
export type CounterName =
  | "tokens"
  | "decisions"
  | "retries"
  | "resumes"
  | "preemptions_seen"
  | "runners_lost"
  | "runners_leaving"
  | "runner_pauses"
  | "refusals"
  | "requests"
  | "attempts"
  | "callers_left"
  | "answers_cut"
  | "moves"
  | "log_lines_dropped";
