/** Whether the work of a request ran at a runner, as far as is known. */
export type Outcome =
  "completed" | "not_run" | "may_have_run" | "ran_incomplete";
