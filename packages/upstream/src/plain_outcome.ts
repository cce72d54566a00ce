/**
 * Outcome of a call to a plain service. Only `refused` and `unreachable`
 * guarantee that the call was not executed.
 */
export type PlainOutcome =
  | {
      readonly type: "answered";
      readonly statusCode: number;
      readonly contentType: string;
      readonly body: Uint8Array;
    }
  | {
      readonly type: "refused";
      readonly reason: string;
      readonly isLeaving: boolean;
    }
  | { readonly type: "unreachable"; readonly reason: string }
  | { readonly type: "unknown"; readonly reason: string };
