/**
 * What is known of a runner's process after it has ended a connection. `replaced`:
 * another start of a runner is at its address.
 */
export type EndedProcess =
  "alive" | "gone" | "replaced" | "silent" | "not_known";
