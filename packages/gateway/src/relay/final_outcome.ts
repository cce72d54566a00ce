import type { Refusal } from "../model/refusal.js";

/** How a request ended at this instance. */
export type FinalOutcome =
  | { readonly type: "delivered"; readonly statusCode: number }
  | { readonly type: "cut"; readonly reason: string }
  | { readonly type: "caller_left" }
  | { readonly type: "refused"; readonly refusal: Refusal };
