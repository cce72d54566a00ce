/** What is known about work that may have run at a runner. */
export type Outcome =
  "completed" | "not_run" | "may_have_run" | "ran_incomplete";
