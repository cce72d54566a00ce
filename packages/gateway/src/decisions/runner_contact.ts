/** Whether a runner's port took a connection just after an answer had ended. */
export type RunnerContact = "accepted" | "refused" | "silent";
