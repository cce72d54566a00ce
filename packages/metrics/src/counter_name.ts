/** Events that an instance counts. */
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
