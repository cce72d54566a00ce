import type { Refusal } from "../model/refusal.js";

/** Final outcome of a request at this instance. */
export type FinalOutcome =
  | { readonly type: "delivered"; readonly statusCode: number }
  /** The response was aborted after its head had been sent. */
  | { readonly type: "cut"; readonly reason: string }
  | { readonly type: "caller_left" }
  | { readonly type: "refused"; readonly refusal: Refusal };
