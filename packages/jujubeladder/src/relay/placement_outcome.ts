import type { Admission } from "@jujubeladder/scheduling";

/** A runner reserved for one attempt, or why none could be reserved. */
export type PlacementOutcome =
  | {
      readonly type: "placed";
      readonly admission: Extract<Admission, { type: "admitted" }>;
      /** Releases the reservation; must be called exactly once. */
      readonly release: () => void;
    }
  | {
      readonly type: "failed";
      readonly reason: string;
      readonly retryAfterMs: number | undefined;
    };
