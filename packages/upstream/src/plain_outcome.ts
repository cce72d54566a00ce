/**
 * How a call of a plain service ended. Only `refused` and `unreachable`
 * prove that nothing ran.
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
