import type { Evacuations } from "./evacuations.js";
import type { StorePosition } from "./store_position.js";

/** What a read of the store tells of evacuated availability zones. */
export type EvacuationUpdate =
  | ({ readonly type: "list" } & Evacuations)
  /** Changes since the read before, of which there may be none. */
  | {
      readonly type: "changes";
      readonly changes: readonly {
        readonly zone: string;
        readonly isEvacuated: boolean;
      }[];
      readonly asOf: StorePosition;
    };
