import type { ViewRelay } from "../model/view_relay.js";

/** Selects the instance that reads the store for this one. */
export interface StoreReaderProvider {
  /** Returns undefined if this instance reads the store itself. */
  find(): ViewRelay | undefined;
  /** Records that this instance failed to read the store. */
  recordOwnFailure(): void;
  /** Records that a peer failed to provide a current view. */
  recordFailure(reader: ViewRelay, reason: string): void;
}
