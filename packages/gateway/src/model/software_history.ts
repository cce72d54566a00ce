import type { DepartedSoftware } from "./departed_software.js";
import type { StorePosition } from "./store_position.js";

/** What a source knows of the software versions that there have been. */
export interface SoftwareHistory {
  /** For how long it has known all versions. */
  readonly knownForMs: number;
  /** The position up to which it knows them; undefined if it does not tell. */
  readonly knownUpTo: StorePosition | undefined;
  readonly departed: readonly DepartedSoftware[];
}
