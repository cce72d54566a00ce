import type { PlacementFigures } from "./placement_figures.js";
import type { StreamLease } from "./stream_lease.js";

/** The scheduler's final decision on a request. */
export type Admission =
  | {
      readonly type: "admitted";
      readonly runnerId: string;
      readonly lease: StreamLease;
      readonly queuedMs: number;
      readonly candidates: number;
      readonly figures: PlacementFigures;
    }
  | {
      readonly type: "refused";
      readonly reason: string;
      readonly queuedMs: number;
      readonly retryAfterMs: number;
    };
