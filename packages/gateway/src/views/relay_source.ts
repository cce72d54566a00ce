import type { ViewRelay } from "../model/view_relay.js";

/** Says who reads the store for this instance. */
export interface RelaySource {
  /** Undefined when this instance reads the store by itself. */
  find(): ViewRelay | undefined;
  /** This instance can't read the store by itself now. */
  noteOwnFailure(): void;
  noteFailure(relay: ViewRelay, reason: string): void;
}
