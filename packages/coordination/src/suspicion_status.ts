/** What quarantine says of a request's fingerprint. */
export type SuspicionStatus =
  | { readonly type: "clear" }
  | { readonly type: "suspect"; readonly lostRunners: readonly string[] }
  | { readonly type: "quarantined"; readonly lostRunners: readonly string[] };
