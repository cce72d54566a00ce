import type { EngineEvent } from "./engine_event.js";

/** An open stream of one generation over one connection. */
export interface EngineStream {
  readonly events: AsyncGenerator<EngineEvent, void, void>;
  /** Drops the connection; the engine keeps the generation for a while. */
  readonly close: () => void;
}
