/** Names of the duration histograms, in milliseconds. */
export type HistogramName =
  | "first_token_ms"
  | "token_gap_ms"
  | "stall_ms"
  | "queue_wait_ms"
  | "answer_ms";
