import type { Admission } from "@jujubeladder/scheduling";

/** A place at a runner, taken for one attempt, or why there is none. */
export type PlaceOutcome =
  | {
      readonly type: "placed";
      readonly admission: Extract<Admission, { type: "admitted" }>;
      /** Frees the place; a second call does nothing. */
      readonly release: () => void;
    }
  | {
      readonly type: "failed";
      readonly reason: string;
      readonly retryAfterMs: number | undefined;
    };
