import type { PlacementFigures } from "./placement_figures.js";

/** Where a request goes now, or why it goes nowhere yet. */
export type PlacementDecision =
  | {
      readonly type: "placed";
      readonly runnerId: string;
      readonly candidates: number;
      readonly figures: PlacementFigures;
    }
  | { readonly type: "held"; readonly reason: string };
