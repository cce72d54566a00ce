import type { PlacementDecision } from "@jujubeladder/scheduling";

/** Answer of `explain`: the placement, and when the request is sent again. */
export type Explanation =
  | (PlacementDecision & { readonly retries: string })
  | { readonly type: "unknown_service" };
