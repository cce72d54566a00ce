/** Events that an instance counts. */
export type CounterName =
  | "tokens"
  | "decisions"
  | "retries"
  | "resumes"
  | "preemptions_seen"
  | "runners_lost"
  | "refusals";
