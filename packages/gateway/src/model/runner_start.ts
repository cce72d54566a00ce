/** What a runner says of when its process started. */
export type RunnerStart =
  | { readonly type: "told"; readonly startedAtMs: number }
  | { readonly type: "not_told" }
  | { readonly type: "no_response"; readonly reason: string };
