/** Quarantine status of a request fingerprint. */
export type SuspicionStatus =
  | { readonly type: "clear" }
  | { readonly type: "suspect"; readonly lostRunners: readonly string[] }
  | { readonly type: "quarantined"; readonly lostRunners: readonly string[] };
