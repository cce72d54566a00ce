import type { PlacementFigures } from "./placement_figures.js";

/** The runner chosen for a request, or why the request stays queued. */
export type PlacementDecision =
  | {
      readonly type: "placed";
      readonly runnerId: string;
      readonly candidates: number;
      readonly figures: PlacementFigures;
    }
  | { readonly type: "held"; readonly reason: string };
