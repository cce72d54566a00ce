import type { StoreReader } from "../model/store_reader.js";

/** Selects the instance that reads the store for this one. */
export interface StoreReaderProvider {
  /** Returns undefined if this instance reads the store itself. */
  find(): StoreReader | undefined;
  /** Records that this instance failed to read the store. */
  recordOwnFailure(): void;
  /** Records that a peer failed to provide a current view. */
  recordFailure(reader: StoreReader, reason: string): void;
}
